#pragma once

#include "config/settings.h"
#include "http/memory_account.h"
#include "http/memory_shares.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

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

/// What the platform lets the process use.
struct InstanceLimits {
    int memoryMb = 256; ///< Resident and in the kernel's socket buffers; above it the process is killed.
    int descriptors = 4096; ///< Open files and sockets.
    std::optional<int> bufferMb; ///< For bodies of requests and answers; absent: a share of memoryMb.
    Duration roomWait =
        http::MemoryOptions().roomWait; ///< Longest time for which an answer isn't read on for lack of memory.

    [[nodiscard]] http::MemoryShares memoryShares() const
    {
        return http::MemoryShares::of(memoryMb, bufferMb);
    }
};

/// Duties that one daemon at a time carries out for the deployment by calls to the platform.
struct DutySettings {
    Address address; ///< Of the platform's interface for them.
    bool usageReport = false; ///< Reports the requests of each workspace by window of true time.
    bool autoscale = false; ///< Orders the number of endpoints of each service and zone.
    std::vector<std::string> unknown; ///< Names of further duties, which this program does not have.
    double callsPerSecond = 50.0; ///< That the platform accepts from all daemons together.
    bool fenceChecked = true; ///< The platform refuses a lower fencing token than it has seen.
    Duration lease = std::chrono::seconds(3); ///< Two holders may not alternate within this time.
    Duration resumeSlack =
        std::chrono::milliseconds(300); ///< Calls that arrive so soon after a pause of the process are excused.
    Duration usageWindow = std::chrono::seconds(5); ///< Window k begins k times this after the start of 1970.
    Duration usageDue = std::chrono::seconds(10); ///< After a window's end.
    double usageTolerance = 0.05; ///< Relative error of a reported count.

    /// Whether there is a duty that this program has.
    [[nodiscard]] bool any() const
    {
        return usageReport || autoscale;
    }
};

/// Settings of one daemon that forwards requests on a deployment whose store
/// holds configuration, endpoints and orders.
struct GatewaySettings {
    InstanceSettings instance;
    GatewayListenSettings listen;
    StoreSettings store;
    SecondSendSettings secondSends;
    std::optional<RolloutSettings> rollouts; ///< Absent: rollouts are off.
    std::optional<DutySettings> duties; ///< Absent: no duty is carried out.
    InstanceLimits limits;
    Duration grace = std::chrono::seconds(8); ///< From SIGTERM to the platform's SIGKILL.
    double capacity = 1.0; ///< Of the instance, relative to others of the deployment; above 0.
    LogSettings log;

    /// Reads and checks a document as a whole; \a file is named in problems.
    [[nodiscard]] static Checked<GatewaySettings> parse(std::string_view file, std::string_view text);
    [[nodiscard]] static Checked<GatewaySettings> load(const std::string &path);
    /// Names of the features that these settings leave off.
    [[nodiscard]] std::vector<std::string> disabledFeatures() const;
};

/// Whether the document \a text is one of a gateway: it has a member "store".
[[nodiscard]] bool isGatewayDocument(std::string_view text);

} // namespace mimosahub
