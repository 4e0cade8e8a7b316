#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace mimosahub::ctl
{

/// The answer of one daemon.
struct Reply {
    int status = 0; ///< HTTP status.
    boost::json::value body; ///< Null if the body is no JSON.
    Address daemon; ///< Who answered.
};

/// Blocking HTTP calls to the first daemon that answers. Errors: Unavailable if
/// nothing was sent, Unknown if a change was sent and its answer was lost.
class DaemonClient
{
public:
    explicit DaemonClient(std::vector<Address> daemons) : m_daemons(std::move(daemons))
    {
    }

    /// Reads \a target, asking the next daemon after any failure.
    [[nodiscard]] absl::StatusOr<Reply> get(const std::string &target) const;
    /// Sends a change once: the next daemon is asked only if no byte was sent.
    [[nodiscard]] absl::StatusOr<Reply> post(const std::string &target, const boost::json::value &body) const;

private:
    std::vector<Address> m_daemons;
};

} // namespace mimosahub::ctl
