#include "gateway/counted_send.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const ServiceId kService("s");
const VersionId kOld("v1");
const VersionId kTarget("v2");
const RolloutId kRollout{kService, kTarget, RolloutRecord(5)};

/// A director whose coordinator never answers.
class Daemon : public RolloutPeers
{
public:
    Daemon()
    {
        director.connect(*this, {[](const WantedStatus &) {}, [] {}, [] {}});
    }
    bool coordinates(const ServiceId & /*service*/) const override
    {
        return false;
    }
    void report(const SplitReport &report, AnswerCallback onAnswer) override
    {
        reported = report;
        onAnswer(std::nullopt);
    }
    void show(const std::vector<VersionId> &versions, std::optional<RolloutStage> status,
              const RolloutId &rollout = kRollout, bool rewritten = false)
    {
        GatewayView view;
        for (const auto &version : versions) {
            ListedEndpoint endpoint;
            endpoint.info.id = EndpointId(version.str());
            endpoint.info.service = kService;
            endpoint.info.version = version;
            view.endpoints.push_back(endpoint);
        }
        view.rollouts = {{rollout, 15s, status, rewritten}};
        director.setView(view);
    }

    SplitReport reported; ///< The newest one.
    boost::asio::io_context io;
    ManualClock clock;
    MetricRegistry metrics;
    Random random{1};
    RolloutDirector director{io, clock, InstanceId("d1"), 1, ExposureLimit{0.1, 50.0}, metrics, random};
};

const RouteId kRoute("r");

/// Sends of a route whose usual time is known.
class Sends
{
public:
    Sends()
    {
        daemon.show({kOld, kTarget}, RolloutStage::Running);
        m_old.service = kService;
        m_old.version = kOld;
        m_target = m_old;
        m_target.version = kTarget;
        for (int i = 0; i < 100; ++i) {
            CountedSend(daemon.director, m_old, kRoute, false).end(SendResult::Answered, AnswerTimes{20ms, {}});
        }
    }
    std::unique_ptr<CountedSend> toTarget()
    {
        return std::make_unique<CountedSend>(daemon.director, m_target, kRoute, false);
    }
    /// Outcomes of the target in the next report.
    VersionOutcomes reported()
    {
        daemon.io.restart();
        daemon.io.run_for(500ms); // A report is due by then.
        return daemon.reported.counts.at({kRoute.str(), ZoneId("any")}).to;
    }

    Daemon daemon;

private:
    EndpointInfo m_old;
    EndpointInfo m_target;
};

} // namespace

Test(rollout_director, without_a_decision_the_target_gets_nothing)
{
    Daemon daemon;
    daemon.show({kOld, kTarget}, RolloutStage::Running);
    for (int i = 0; i < 1000; ++i) {
        const auto filter = daemon.director.drawVersion(kService, RouteId("r"));
        cr_assert(filter && filter->admits(kOld) && !filter->admits(kTarget));
    }
}

Test(rollout_director, a_version_gets_nothing_after_its_rollback_though_no_other_is_left)
{
    Daemon daemon;
    daemon.show({kOld, kTarget}, RolloutStage::RolledBack);
    daemon.show({kTarget}, RolloutStage::RolledBack);
    const auto filter = daemon.director.drawVersion(kService, RouteId("r"));
    cr_assert(filter && !filter->admits(kTarget) && !daemon.director.mayUseOther(kService, *filter));
}

Test(rollout_director, a_service_whose_only_version_was_ordered_is_served)
{
    Daemon daemon;
    for (const auto status : {RolloutStage::Running, RolloutStage::RolledBack, RolloutStage::Completed}) {
        daemon.show({kTarget}, status);
        cr_assert(!daemon.director.drawVersion(kService, RouteId("r")));
    }
}

Test(rollout_director, a_completed_version_is_preferred)
{
    Daemon daemon;
    daemon.show({kOld, kTarget}, RolloutStage::Completed);
    const auto filter = daemon.director.drawVersion(kService, RouteId("r"));
    cr_assert(filter && filter->admits(kTarget) && daemon.director.mayUseOther(kService, *filter));
}

// A report on an order that this daemon hasn't read yet changes nothing.
Test(rollout_director, a_report_on_another_order_is_not_known)
{
    Daemon daemon;
    daemon.show({kOld, kTarget}, RolloutStage::Running);
    SplitReport report{
        {kService, kTarget, RolloutRecord(6)}, {InstanceId("d2"), 1}, 1s, SplitPhase::Trial, "slow", {}, {}};
    cr_assert(!daemon.director.takeReport(report));
    report.rollout = kRollout;
    cr_assert(daemon.director.takeReport(report)->phase == SplitPhase::RolledBack);
}

// The store came back from a copy and the operator wrote the order again: a version that was rolled
// back must not be tried a second time.
Test(rollout_director, an_order_that_is_written_again_keeps_its_progress)
{
    const RolloutId rewritten{kService, kTarget, RolloutRecord(3)};
    Daemon daemon;
    daemon.show({kOld, kTarget}, RolloutStage::RolledBack);
    daemon.show({kOld, kTarget}, std::nullopt, rewritten, true);
    const auto filter = daemon.director.drawVersion(kService, RouteId("r"));
    cr_assert(filter && !filter->admits(kTarget) && !daemon.director.mayUseOther(kService, *filter));
    const SplitReport report{rewritten, {InstanceId("d2"), 1}, 1s, SplitPhase::Trial, "", {}, {}};
    cr_assert(daemon.director.takeReport(report)->phase == SplitPhase::RolledBack);
}

// Slowness showed only when the slow answers ended: a version that answered its load test several times
// slower was judged by the answers that were fast.
Test(rollout_director, a_late_answer_counts_before_it_ends_and_once)
{
    Sends sends;
    const auto late = sends.toTarget();
    const auto lateAndFailed = sends.toTarget();
    sends.daemon.clock.advance(5s);
    cr_assert(sends.reported() == (VersionOutcomes{2, 0, 2}));
    late->begun(5s);
    late->end(SendResult::Answered, AnswerTimes{5s, {}});
    lateAndFailed->end(SendResult::ServerError, std::nullopt);
    cr_assert(sends.reported() == (VersionOutcomes{2, 1, 2}));
}

// If late answers counted at once and those in time only at their end, a version of long streams looked slow.
Test(rollout_director, a_stream_counts_when_it_has_begun_in_time)
{
    Sends sends;
    const auto stream = sends.toTarget();
    stream->begun(20ms);
    sends.daemon.clock.advance(5s);
    cr_assert(sends.reported() == (VersionOutcomes{1, 0, 0}));
    stream->end(SendResult::Answered, AnswerTimes{20ms, 10ms});
    cr_assert(sends.reported() == (VersionOutcomes{1, 0, 0}));
    auto givenUp = sends.toTarget();
    givenUp->begun(20ms);
    sends.daemon.clock.advance(5s);
    givenUp.reset();
    cr_assert(sends.reported() == (VersionOutcomes{2, 0, 0}));
}
