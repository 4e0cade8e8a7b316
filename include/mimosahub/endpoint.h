#pragma once

#include "mimosahub/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace mimosahub
{

/// An IP address and TCP port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string str() const
    {
        return host + ":" + std::to_string(port);
    }
    friend bool operator==(const Address &, const Address &) = default;
    friend std::strong_ordering operator<=>(const Address &a, const Address &b)
    {
        return std::tie(a.host, a.port) <=> std::tie(b.host, b.port);
    }
};

/// One endpoint's entry in the platform's instance list.
struct EndpointInfo {
    EndpointId id;
    ServiceId service;
    ZoneId zone;
    VersionId version;
    Address address;
    bool leaving = false; ///< The platform is about to stop it.

    friend bool operator==(const EndpointInfo &, const EndpointInfo &) = default;
};

/// One daemon's entry in the platform's instance list.
struct DaemonInfo {
    InstanceId id;
    ZoneId zone;
    Address peerAddress; ///< Address at which other daemons connect to it.
    bool leaving = false; ///< The platform is about to stop it.

    friend bool operator==(const DaemonInfo &, const DaemonInfo &) = default;
};

} // namespace mimosahub
