#pragma once

#include "daemon/call_feedback.h"
#include "daemon/log_loop.h"
#include "daemon/rollout_summary.h"
#include "peer/load_digest.h"
#include "route/endpoint_chooser.h"
#include "route/rollout_gate.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosahub
{

/// Runs the gate of each active rollout on the outcomes of all daemons, acts on
/// a fault at once, and records ends in the log. Used on the control thread only.
class RolloutLoop
{
public:
    /// Loads charts/rollout.json from \a chartFolder. All arguments must outlive the loop.
    static absl::StatusOr<std::unique_ptr<RolloutLoop>> create(const Clock &clock, LogLoop &log,
                                                               const std::string &chartFolder);

    /// Counts calls of services with an active rollout in \a own.
    void take(const std::vector<CallFeedback> &feedback, LoadDigestSender &own) const;
    /// Follows the rollouts of the control state and judges them.
    void tick(const LoadDigestSender &own, const LoadDigestMerger &peers);
    /// Weights of versions by service; services whose versions don't matter are left out.
    [[nodiscard]] std::map<ServiceId, std::vector<VersionWeight>> weights() const;
    [[nodiscard]] std::vector<RolloutSummary> summaries() const;

private:
    using Totals = std::map<OutcomeKey, OutcomeCounts>;

    /// One rollout under way.
    struct Active {
        Active(RecordPosition position, RolloutGate gate) : position(position), gate(std::move(gate))
        {
        }
        RecordPosition position;
        RolloutGate gate;
        Totals atStart; ///< Counts that are no part of this rollout.
        std::map<std::string, std::size_t> slowBucket; ///< By route: slower than this latency bucket counts as slow.
        RolloutCounts counts;
        bool endSubmitted = false;
    };

    RolloutLoop(const Clock &clock, LogLoop &log, Chart chart);
    void begin(const ServiceId &service, const Rollout &rollout, const Totals &totals);
    void judge(const ServiceId &service, Active &active, const Totals &totals);
    void submitEnd(const ServiceId &service, Active &active);
    [[nodiscard]] std::size_t slowBucketOf(Active &active, const OutcomeKey &key, const Totals &totals) const;

    const Clock &m_clock;
    LogLoop &m_log;
    Chart m_chart;
    TimePoint m_nextLook;
    std::map<ServiceId, Active> m_active;
};

} // namespace mimosahub
