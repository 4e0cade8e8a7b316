#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace mimosahub::ctl
{

/// The command line of mimosahubctl, checked.
struct CommandLine {
    bool help = false;
    bool version = false;
    bool json = false; ///< Write JSON, one object a line, instead of text.
    std::string command;
    std::vector<std::string> arguments; ///< What follows the command.
    std::vector<Address> daemons; ///< Operators' addresses, tried in this order.
    std::string operatorName;
    Duration timeout = std::chrono::seconds(30); ///< Longest wait of --wait and --wait-done.
    bool dryRun = false;
    bool prune = false; ///< Remove published objects that the file doesn't have.
    std::optional<Offset> base; ///< Objects changed after it make the publish stale.
    bool wait = false; ///< Wait until in force.
    bool waitDone = false; ///< Wait until an order is done or taken back.
    bool afterRollback = false;
    std::optional<WallTime> begin;
    std::optional<WallTime> due;

    /// Reads the arguments after the program's name. \a user is the operator's
    /// name unless the arguments give one.
    [[nodiscard]] static absl::StatusOr<CommandLine> parse(const std::vector<std::string> &arguments,
                                                           const std::string &user, const Clock &clock);
};

/// Reads an offset of the log.
[[nodiscard]] std::optional<Offset> parseOffset(const std::string &text);

/// The text of --help.
[[nodiscard]] std::string helpText();

} // namespace mimosahub::ctl
