#pragma once

#include "config/settings.h"

#include <algorithm>

namespace mimosahub
{

/// Where a gateway listens.
struct GatewayListenSettings {
    Address callers;
    Address readiness; ///< The balancer asks there whether to send connections.
    Address peers; ///< Other daemons.
    Address metrics;
};

/// How the store may be used.
struct StoreSettings {
    Address address;
    Duration leavingBound =
        std::chrono::milliseconds(1400); ///< An endpoint that leaves gets no request after this time.
    Duration configurationBound =
        std::chrono::seconds(3); ///< A configuration is to be in force this long after the store confirmed it.
    Duration lapseGrace = std::chrono::milliseconds(1700); ///< A lapsed entry is kept so long after the store's return.

    /// Time between two reads of the endpoints' entries: a failed one can be repeated in time.
    [[nodiscard]] Duration endpointPoll() const
    {
        return leavingBound / 2;
    }
    /// How long a read waits for operators' documents. The store may miss a read that begins to
    /// wait while it writes, and answers it only once the wait is over.
    [[nodiscard]] Duration documentWait() const
    {
        constexpr Duration kLongestWait = std::chrono::seconds(5);
        return std::min<Duration>(kLongestWait, configurationBound * 3 / 4);
    }
};

/// Second sends that all daemons together may make of one service's requests.
struct SecondSendSettings {
    double ratio = 0.2; ///< Of the requests of the window.
    double extra = 10.0; ///< Besides, in each window.
    Duration window = std::chrono::seconds(10);
};

/// What a version whose rollout is not settled may get of its service's requests, over all
/// daemons.
struct RolloutSettings {
    double exposureShare = 0.1;
    double exposureSlack = 50.0; ///< Requests besides.
};

/// Settings of one daemon that forwards requests on a deployment whose store
/// holds configuration, endpoints and orders.
struct GatewaySettings {
    InstanceSettings instance;
    GatewayListenSettings listen;
    StoreSettings store;
    SecondSendSettings secondSends;
    RolloutSettings rollouts;
    Duration grace = std::chrono::seconds(8); ///< From SIGTERM to the platform's SIGKILL.
    double capacity = 1.0; ///< Of the instance, relative to others of the deployment; above 0.
    LogSettings log;

    /// Reads and checks a document as a whole; \a file is named in problems.
    [[nodiscard]] static Checked<GatewaySettings> parse(std::string_view file, std::string_view text);
    [[nodiscard]] static Checked<GatewaySettings> load(const std::string &path);
};

/// Whether the document \a text is one of a gateway: it has a member "store".
[[nodiscard]] bool isGatewayDocument(std::string_view text);

} // namespace mimosahub
