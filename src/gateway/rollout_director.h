#pragma once

#include "base/metrics.h"
#include "forward/answer_times.h"
#include "forward/endpoint_selector.h"
#include "forward/split_judge.h"
#include "gateway/gateway_view.h"
#include "gateway/wanted_status.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace mimosahub
{

class CountedSend;

/// Where reports on rollouts go. Traffic thread only.
class RolloutPeers
{
public:
    using AnswerCallback = std::function<void(const std::optional<SplitDecision> &)>;

    virtual ~RolloutPeers() = default;
    /// Whether this daemon coordinates the rollouts of \a service.
    [[nodiscard]] virtual bool coordinates(const ServiceId &service) const = 0;
    /// Reports to the coordinator. \a onAnswer gets its decision; absent if it knows no
    /// such order or doesn't answer.
    virtual void report(const SplitReport &report, AnswerCallback onAnswer) = 0;
};

/// Splits the requests of services under a rollout, counts outcomes by version, and
/// exchanges them with the other daemons. Traffic thread only.
class RolloutDirector
{
public:
    struct Callbacks {
        std::function<void(const WantedStatus &)> wantStatus; ///< Called again and again until the view shows it.
        std::function<void()> measureStore; ///< The view shows the result.
        std::function<void()> phaseChanged;
    };

    /// All arguments must outlive this object.
    RolloutDirector(boost::asio::io_context &io, const Clock &clock, InstanceId self, std::uint64_t incarnation,
                    const std::optional<ExposureLimit> &limit, MetricRegistry &metrics, Random &random);

    /// To be called before any other function.
    void connect(RolloutPeers &peers, Callbacks callbacks);
    /// Ends the exchange with other daemons; to be called before the io context ends.
    void stop()
    {
        m_timer.reset();
    }
    /// Takes orders, their status, and the versions of endpoints.
    void setView(const GatewayView &view);

    /// Which versions the next send of a request of \a route to \a service may go to; absent: any.
    [[nodiscard]] std::optional<VersionFilter> drawVersion(const ServiceId &service, const RouteId &route);
    /// Whether the send may go to the other side of \a filter, where nothing fits it.
    [[nodiscard]] bool mayUseOther(const ServiceId &service, const VersionFilter &filter) const;
    /// The versions that calls for stages of \a service may go to; absent: any.
    [[nodiscard]] std::optional<VersionFilter> stageVersion(const ServiceId &service) const;
    /// Handles the report of another daemon. Absent: this daemon knows no such order.
    [[nodiscard]] std::optional<SplitDecision> takeReport(const SplitReport &report);

private:
    friend class CountedSend;

    /// A service under a rollout.
    struct Active {
        Active(const GatewayView::Rollout &order, const ExposureLimit &limit, double rounding, TimePoint now)
            : rollout(order.id),
              duration(order.duration),
              split(limit, rounding),
              begin(now),
              judge(order.duration, limit),
              own(order.duration, limit)
        {
        }
        RolloutId rollout;
        Duration duration;
        VersionSplit split;
        TimePoint begin;
        SplitJudge judge; ///< Of all daemons' reports, while this daemon coordinates.
        SplitJudge own; ///< Of this daemon's counts only.
        RolloutCounts counts;
        std::string fault; ///< Found by this daemon.
        std::string reason; ///< Of the phase.
        TimePoint newsAt; ///< Of the last decision by the coordinator.
        std::optional<RolloutStage> status; ///< As the store holds it.
        TimePoint decidedAt; ///< When the judge of all reports decided last.
        bool hasMeasuredStore = false;
        bool sharesTraffic = false; ///< Endpoints both of the target and of other versions are listed.
        bool hasShared = false; ///< That was so at some time since the order.
    };

    [[nodiscard]] Active *find(const ServiceId &service);
    [[nodiscard]] const Active *find(const ServiceId &service) const;
    void takeOrder(const GatewayView::Rollout &order);
    void refuseOrder(const RolloutId &rollout);
    void tick();
    void armTick();
    [[nodiscard]] bool isUnsettled(const Active &active) const;
    [[nodiscard]] Duration reportInterval(const Active &active) const;
    void look(Active &active);
    void exchange(Active &active);
    void takeDecision(Active &active, const SplitDecision &decision);
    void enter(Active &active, SplitPhase phase, const std::string &reason);
    void logPhase(const Active &active, SplitPhase before) const;
    void requestStatus(const Active &active);
    void measureStore(Active &active);
    [[nodiscard]] SplitReport reportOf(const Active &active) const;

    const Clock &m_clock;
    InstanceId m_self;
    std::uint64_t m_incarnation;
    std::optional<ExposureLimit> m_limit; ///< Absent: rollouts are off.
    std::map<ServiceId, RolloutId> m_refused; ///< The newest order of a service while rollouts are off.
    Random &m_random;
    RolloutPeers *m_peers = nullptr;
    Callbacks m_callbacks;
    std::optional<boost::asio::steady_timer> m_timer; ///< Absent once stopped.
    bool m_armed = false;
    std::map<ServiceId, std::unique_ptr<Active>> m_active;
    std::set<CountedSend *> m_sends; ///< Under way, of services under a rollout.
    SlowLimits m_limits;
    int m_daemons = 1;
    Counter &m_targetSends;
    Counter &m_rolledBack;
    Gauge &m_unsettled;
};

} // namespace mimosahub
