#pragma once

#include "base/log.h"
#include "config/problem.h"
#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// The settings of one daemon: what it is, where it listens, what it may use.
/// What all daemons share is published (mimosahub/configuration.h).
namespace mimosahub
{

/// What this daemon is.
struct InstanceSettings {
    InstanceId id;
    ZoneId zone;
    RegionId region;
};

/// Where this daemon listens. Port 0 lets the system choose.
struct ListenSettings {
    Address callers;
    Address operators;
    Address peers;
    std::optional<Address> peersAdvertised; ///< Where other daemons reach peers, if not at its address itself.
};

/// Where the platform's services are.
struct PlatformSettings {
    Address log;
    Address instances;
};

/// Threads by role; control state always has one thread of its own.
struct ThreadSettings {
    int traffic = 2;
};

/// Bounds on what callers can make this daemon hold.
struct LimitSettings {
    std::size_t headerBytes = 16U << 10U; ///< Largest header of a message.
    std::size_t bodyBytes = 4U << 20U; ///< Largest body of a message.
    int openConnections = 4096;
    int openRequestsPerWorkspace = 512;
    std::size_t bufferedBytesPerWorkspace = 32U << 20U;
    int memoryMb = 256; ///< Resident and in the kernel's socket buffers, in MiB.
};

/// Periods and time limits.
struct TimeoutSettings {
    Duration logPollInterval = std::chrono::milliseconds(200);
    Duration freshness =
        std::chrono::milliseconds(2500); ///< Age of the last proof of freshness at which new work is refused.
    Duration heartbeat = std::chrono::seconds(1); ///< Interval between heartbeats to each peer.
    Duration slotLease = std::chrono::seconds(2); ///< Length of a lease on an endpoint's slots.
    Duration drain = std::chrono::seconds(20); ///< Longest wait for open requests at a stop.
    Duration idleConnection = std::chrono::seconds(30); ///< Age at which an idle connection is closed.
    Duration stageProgress = std::chrono::seconds(2); ///< Longest silence within an engine's stream.
    Duration platformCall = std::chrono::seconds(2); ///< Time limit of one call to the platform.
    Duration platformKill = std::chrono::seconds(30); ///< Time from SIGTERM to the platform's SIGKILL.
    /// Difference of instances' wall clocks that the expiry of keys tolerates.
    Duration clockSkew = std::chrono::seconds(5);
};

/// What is logged, and how.
struct LogSettings {
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
};

/// Which policy decides on requests.
enum class PolicyMode {
    Full, ///< All of the project's policies.
    Baseline, ///< Round robin without limits or budgets; for comparison only.
};

/// How requests are decided on.
struct PolicySettings {
    PolicyMode mode = PolicyMode::Full;
};

/// All settings of one daemon.
struct Settings {
    InstanceSettings instance;
    ListenSettings listen;
    PlatformSettings platform;
    ThreadSettings threads;
    LimitSettings limits;
    TimeoutSettings timeouts;
    LogSettings log;
    std::string charts = "charts"; ///< Folder of the state charts.
    PolicySettings policy;

    /// Reads and checks a document as a whole; \a file is named in problems.
    [[nodiscard]] static Checked<Settings> parse(std::string_view file, std::string_view text);
    /// Reads and checks the file \a path as a whole.
    [[nodiscard]] static Checked<Settings> load(const std::string &path);
};

} // namespace mimosahub
