#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <tuple>

/// How many requests the target of a rollout may still get, over all daemons.
namespace mimosahub
{

/// Age from which news of a rollout count no more: a daemon without a decision for so long uses the target no
/// more, and a report that is older shows nothing about the present.
constexpr Duration kRolloutNewsAge = std::chrono::seconds(2);

/// Limit on the requests that a version gets from the order of its rollout to the deadline, over all daemons.
struct ExposureLimit {
    double share = 0.1; ///< Of the service's requests.
    double slack = 50.0; ///< Requests besides.

    /// The requests that the target may have got after \a all requests of the service.
    [[nodiscard]] double allowed(double all) const
    {
        return share * all + slack;
    }
};

/// Sends of a service's requests since a daemon read the order.
struct SplitSends {
    std::uint64_t target = 0; ///< To the target of the rollout.
    std::uint64_t old = 0; ///< To the other versions.

    [[nodiscard]] std::uint64_t all() const
    {
        return target + old;
    }
    friend bool operator==(const SplitSends &, const SplitSends &) = default;
};

/// A daemon from one start to the next.
struct DaemonRun {
    InstanceId daemon;
    std::uint64_t incarnation = 0; ///< Differs for each start of the daemon.

    friend bool operator<(const DaemonRun &a, const DaemonRun &b)
    {
        return std::tie(a.daemon, a.incarnation) < std::tie(b.daemon, b.incarnation);
    }
};

/// Sums the sends of all daemons, and predicts from their rate what the target would have
/// got by the deadline if all requests went there from now on. Does no I/O and reads no
/// clock. Times never decrease. Not thread-safe.
class ExposureBudget
{
public:
    explicit ExposureBudget(const ExposureLimit &limit) : m_limit(limit)
    {
    }

    /// Replaces what \a run has reported before, and withdraws its cap. \a elapsed: since it read the order.
    void take(const DaemonRun &run, const SplitSends &sends, Duration elapsed, TimePoint now);
    /// The number of daemons that are listed; those that never reported count like the others.
    void setDaemons(int daemons);

    /// Whether the target may get all requests of the next \a remaining, so that mayFinish() is true when
    /// \a atEnd is left of it.
    [[nodiscard]] bool mayStart(Duration remaining, Duration atEnd, TimePoint now) const;
    /// Whether it certainly may not, though it may get some of them.
    [[nodiscard]] bool isOverdrawn(Duration remaining, TimePoint now) const;
    /// Whether it may get all requests of the next \a remaining, even if some more come than the rate tells.
    [[nodiscard]] bool mayFinish(Duration remaining, TimePoint now) const;
    /// The total number of sends up to which \a run may use the target. The sum over all daemons keeps
    /// to the limit while each of them gets a new value several times a second, or none for two seconds.
    [[nodiscard]] std::uint64_t grantCap(const DaemonRun &run, TimePoint now);

    /// Requests of the service per second.
    [[nodiscard]] double rate(TimePoint now) const;
    /// Requests that have been sent to the target, at most.
    [[nodiscard]] double targetSends(TimePoint now) const;
    /// What the target may have got by the end of the next \a remaining.
    [[nodiscard]] double allowed(Duration remaining, TimePoint now) const;

private:
    struct Sample {
        TimePoint at;
        std::uint64_t all = 0;
    };
    struct Source {
        SplitSends sends;
        Duration elapsed{};
        TimePoint receivedAt;
        std::deque<Sample> samples; ///< The newest last.
        double rate = 0.0; ///< Requests per second, at the newest report.
        double newestRate = 0.0; ///< The same, over a shorter time.
        std::uint64_t cap = 0; ///< As granted since.
    };
    using SourceRate = double Source::*;

    /// Requests of a source per second, over its samples not older than \a window.
    [[nodiscard]] static double rateOver(const Source &source, Duration window);
    [[nodiscard]] static double rateOf(const Source &source, SourceRate rate, TimePoint now);
    [[nodiscard]] double sumOfRates(SourceRate rate, TimePoint now) const;
    /// Requests of the service per second since the order.
    [[nodiscard]] double meanRate() const;
    [[nodiscard]] double expected(Duration remaining, TimePoint now) const;
    [[nodiscard]] double reserve(Duration remaining, TimePoint now) const;
    [[nodiscard]] double allSends() const;
    /// Factor for the daemons that are listed and never reported.
    [[nodiscard]] double completeness() const;

    ExposureLimit m_limit;
    int m_daemons = 1;
    std::map<DaemonRun, Source> m_sources;
    std::set<InstanceId> m_known; ///< Daemons that have reported.
};

} // namespace mimosahub
