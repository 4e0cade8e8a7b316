// Replays of many daemons that choose among the same endpoints, each with its own old information,
// in simulated time. Work at each endpoint takes 15 ms, and 2.5 times as long for 15 % of the time.

#include "base/random.h"
#include "forward/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <queue>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);
const ServiceId kService("s");
constexpr Duration kWork = 15ms;
constexpr Duration kGoal = 120ms;
constexpr Duration kEpisode = 600ms; ///< Time between changes of an endpoint's ratio.
constexpr int kSlots = 6;
constexpr double kSlowRatio = 2.5;
constexpr double kSlowShare = 0.15;

enum class Report {
    Absent,
    True,
    Usual, ///< Always 1.0.
    Stuck, ///< Always 2.5.
    Wild, ///< Between 0.1 and 20, unrelated to the work.
    Old, ///< What was true 3 s ago.
};

struct ChoiceLoad {
    int daemons = 90;
    int endpoints = 4;
    double load = 0.75; ///< Of the endpoints' mean capacity.
    Report report = Report::True;
    bool roundRobin = false;
    std::vector<double> paces = {1.0}; ///< Relative times of work at the endpoints, in turn.
    Duration length = 20s;
    std::uint64_t seed = 11;
    EndpointSelectorOptions options;
};

struct ChoiceOutcome {
    std::vector<double> milliseconds; ///< From a choice to the end of the work, sorted.
    double inTime = 0.0; ///< Share that met the goal.

    [[nodiscard]] double at(double share) const
    {
        return milliseconds[static_cast<std::size_t>(share * static_cast<double>(milliseconds.size() - 1))];
    }
    void print(const char *name) const
    {
        cr_log_info("%s: %zu requests, %.4f in time, %.0f ms at the median, %.0f at p90, %.0f at p99", name,
                    milliseconds.size(), inTime, at(0.5), at(0.9), at(0.99));
    }
};

class ChoiceReplay
{
public:
    explicit ChoiceReplay(const ChoiceLoad &load)
        : m_load(load),
          m_random(load.seed),
          m_arrivals(load.seed + 1),
          m_machines(static_cast<std::size_t>(load.endpoints))
    {
        GatewayConfiguration::Parts parts;
        ServiceRule rule;
        rule.id = kService;
        parts.services = {rule};
        std::vector<ListedEndpoint> listed;
        for (std::size_t n = 0; n < m_machines.size(); ++n) {
            ListedEndpoint it;
            it.info.id = EndpointId("e" + std::to_string(n));
            it.info.service = kService;
            it.info.zone = ZoneId("a");
            it.slots = kSlots;
            it.startedAtMs = 1;
            listed.push_back(it);
            m_machines[n].pace = load.paces[n % load.paces.size()];
            const auto episodes = static_cast<std::size_t>((load.length + 10s) / kEpisode) + 1;
            for (std::size_t i = 0; i < episodes; ++i) {
                m_machines[n].ratios.push_back(m_random.uniform() < kSlowShare ? kSlowRatio : 1.0);
            }
        }
        m_selectors.resize(static_cast<std::size_t>(load.daemons), EndpointSelector(load.options));
        for (auto &selector : m_selectors) {
            m_next.push_back(m_random.below(m_machines.size()));
            selector.setListing(listed, GatewayConfiguration(parts), {}, kStart);
        }
    }

    ChoiceOutcome run()
    {
        auto arrival = kStart;
        while (arrival < kStart + m_load.length || !m_events.empty()) {
            if (arrival < kStart + m_load.length && (m_events.empty() || arrival <= m_events.top().at)) {
                begin(arrival);
                arrival += gap();
            } else {
                const auto event = m_events.top();
                m_events.pop();
                finish(event);
            }
        }
        std::sort(m_outcome.milliseconds.begin(), m_outcome.milliseconds.end());
        const auto goal = std::chrono::duration<double, std::milli>(kGoal).count();
        const auto late = m_outcome.milliseconds.end()
            - std::upper_bound(m_outcome.milliseconds.begin(), m_outcome.milliseconds.end(), goal);
        m_outcome.inTime = 1.0 - static_cast<double>(late) / static_cast<double>(m_outcome.milliseconds.size());
        return m_outcome;
    }

private:
    struct Machine {
        double pace = 1.0;
        std::vector<double> ratios; ///< For each episode.
        std::queue<std::pair<std::size_t, TimePoint>> waiting; ///< Daemon, and when it chose.
        int running = 0;
    };
    struct Event {
        TimePoint at;
        std::size_t machine = 0;
        std::size_t daemon = 0;
        TimePoint chosenAt;

        bool operator<(const Event &other) const
        {
            return at > other.at; // The earliest is the top of the queue.
        }
    };

    Duration gap()
    {
        double capacity = 0.0; // Requests a second.
        for (const auto &machine : m_machines) {
            capacity += kSlots / (std::chrono::duration<double>(kWork).count() * machine.pace);
        }
        capacity /= 1.0 + (kSlowRatio - 1.0) * kSlowShare;
        const double mean = 1.0 / (m_load.load * capacity);
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(-std::log(1.0 - m_arrivals.uniform()) * mean));
    }

    static EndpointQuery query()
    {
        EndpointQuery it;
        it.service = kService;
        it.zone = ZoneId("a");
        return it;
    }

    [[nodiscard]] static double ratioAt(const Machine &machine, TimePoint now)
    {
        const auto since = std::max(Duration::zero(), Duration(now - kStart));
        return machine.ratios[std::min(machine.ratios.size() - 1, static_cast<std::size_t>(since / kEpisode))];
    }

    void begin(TimePoint now)
    {
        const auto daemon = m_arrivals.below(m_selectors.size());
        auto choosing = query();
        if (m_load.roundRobin) {
            choosing.only = EndpointId("e" + std::to_string(m_next[daemon]++ % m_machines.size()));
        }
        const auto choice = m_selectors[daemon].choose(choosing, now, m_random);
        const auto name = std::get<ListedEndpoint>(choice).info.id.str();
        const auto n = static_cast<std::size_t>(std::stoi(name.substr(1)));
        m_machines[n].waiting.emplace(daemon, now);
        work(n, now);
    }

    void work(std::size_t n, TimePoint now)
    {
        auto &machine = m_machines[n];
        while (machine.running < kSlots && !machine.waiting.empty()) {
            const auto [daemon, chosenAt] = machine.waiting.front();
            machine.waiting.pop();
            ++machine.running;
            const double factor = machine.pace * ratioAt(machine, now);
            const auto time = m_random.jitter(Duration(static_cast<Duration::rep>(kWork.count() * factor)), 0.15);
            m_events.push({now + time, n, daemon, chosenAt});
        }
    }

    void finish(const Event &event)
    {
        auto &machine = m_machines[event.machine];
        --machine.running;
        work(event.machine, event.at);
        auto &selector = m_selectors[event.daemon];
        const EndpointId id("e" + std::to_string(event.machine));
        selector.recordLoad(id, machine.running, static_cast<int>(machine.waiting.size()), event.at);
        if (const auto ratio = reported(machine, event.at)) {
            selector.recordWorkTime(id, *ratio, event.at);
        }
        const auto time = event.at - event.chosenAt;
        selector.end(id, query(), SendEnd::Answered,
                     std::chrono::duration<double>(time) / std::chrono::duration<double>(kWork), event.at);
        m_outcome.milliseconds.push_back(std::chrono::duration<double, std::milli>(time).count());
    }

    [[nodiscard]] std::optional<WorkTimeRatio> reported(const Machine &machine, TimePoint now)
    {
        const auto percent = [](double ratio) {
            return WorkTimeRatio::fromPercent(static_cast<std::int64_t>(std::lround(ratio * 100.0)));
        };
        switch (m_load.report) {
        case Report::Absent:
            return std::nullopt;
        case Report::True:
            return percent(ratioAt(machine, now));
        case Report::Usual:
            return percent(1.0);
        case Report::Stuck:
            return percent(kSlowRatio);
        case Report::Wild:
            return percent(0.1 * std::pow(200.0, m_random.uniform()));
        case Report::Old:
            return percent(ratioAt(machine, now - 3s));
        }
        return std::nullopt;
    }

    ChoiceLoad m_load;
    Random m_random;
    Random m_arrivals; ///< Of its own, so that each decision gets the same load.
    std::vector<Machine> m_machines;
    std::vector<EndpointSelector> m_selectors;
    std::priority_queue<Event> m_events;
    std::vector<std::size_t> m_next; ///< Of each daemon, for round robin.
    ChoiceOutcome m_outcome;
};

} // namespace

// 4 endpoints with 6 slots, 90 and 350 daemons. Guards against daemons that all choose the endpoint
// of which they heard last that it is idle.
Test(endpoint_choice_replay, reported_work_times_bring_more_requests_in_time)
{
    for (const int daemons : {90, 350}) {
        ChoiceLoad load;
        load.daemons = daemons;
        const auto after = ChoiceReplay(load).run();
        load.report = Report::Absent;
        const auto before = ChoiceReplay(load).run();
        load.roundRobin = true;
        const auto inTurn = ChoiceReplay(load).run();
        after.print("reported");
        before.print("not reported");
        inTurn.print("round robin");
        cr_assert_gt(after.inTime, before.inTime);
    }
}

// Three speeds of endpoints, of 0.6, 1 and 1.6. Guards against ratios that hide the learnt speed.
Test(endpoint_choice_replay, slower_endpoints_get_less)
{
    ChoiceLoad load;
    load.endpoints = 6;
    load.paces = {0.6, 1.0, 1.6};
    const auto after = ChoiceReplay(load).run();
    load.report = Report::Absent;
    const auto before = ChoiceReplay(load).run();
    after.print("reported");
    before.print("not reported");
    cr_assert_gt(after.inTime, before.inTime);
}

// Ratios that are always 100 or 250, wild, or 3 s old. Guards against false ratios that cost
// responses in time.
Test(endpoint_choice_replay, false_ratios_do_little_harm)
{
    ChoiceLoad load;
    load.report = Report::Absent;
    const auto before = ChoiceReplay(load).run();
    before.print("not reported");
    for (const auto report : {Report::Usual, Report::Stuck, Report::Wild, Report::Old}) {
        load.report = report;
        const auto after = ChoiceReplay(load).run();
        after.print("false");
        cr_assert_gt(after.inTime, before.inTime - 0.02);
    }
}
