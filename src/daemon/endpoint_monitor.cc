// Each endpoint runs charts/endpoint.json. What it bears over all daemons goes
// to the slot owner as its limit; what this daemon may use comes back as a
// lease. A cold endpoint gets nothing but leased slots. One that has shown that
// it is not cold may also get this daemon's equal part, and one more once it is
// warm: exceeding such a limit briefly costs time, while waiting for a lease,
// which takes many seconds after a change of owner, would cost requests.

#include "daemon/endpoint_monitor.h"

#include "base/log.h"
#include "daemon/leased_slots.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <set>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr Duration kPollTimeout = std::chrono::milliseconds(800);
constexpr std::uint64_t kMaxReportBytes = std::uint64_t(64) << 10U;

absl::StatusOr<Chart> loadChart(const std::string &path, const ChartVocabulary &vocabulary)
{
    std::vector<Problem> problems;
    auto chart = Chart::load(path, vocabulary, problems);
    if (!problems.empty()) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Settings, path, problemLines(problems));
    }
    return chart;
}

int integerOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    json::error_code ec;
    const auto number = value == nullptr ? 0 : value->to_number<std::int64_t>(ec);
    return ec ? 0 : static_cast<int>(std::clamp<std::int64_t>(number, 0, 1'000'000'000));
}

} // namespace

absl::StatusOr<std::unique_ptr<EndpointMonitor>> EndpointMonitor::create(boost::asio::io_context &io,
                                                                         const Clock &clock, http::ConnectionPool &pool,
                                                                         const std::string &chartFolder,
                                                                         MetricRegistry &metrics)
{
    auto endpointChart = loadChart(chartFolder + "/endpoint.json", endpointVocabulary());
    if (!endpointChart.ok()) {
        return endpointChart.status();
    }
    auto zoneChart = loadChart(chartFolder + "/zone.json", zoneVocabulary());
    if (!zoneChart.ok()) {
        return zoneChart.status();
    }
    return std::unique_ptr<EndpointMonitor>(
        new EndpointMonitor(io, clock, pool, std::move(*endpointChart), std::move(*zoneChart), metrics));
}

EndpointMonitor::EndpointMonitor(boost::asio::io_context &io, const Clock &clock, http::ConnectionPool &pool,
                                 Chart endpointChart, Chart zoneChart, MetricRegistry &metrics)
    : m_io(io),
      m_clock(clock),
      m_pool(pool),
      m_endpointChart(std::move(endpointChart)),
      m_zoneChart(std::move(zoneChart)),
      m_zones(m_zoneChart),
      m_timer(io),
      m_failedReports(metrics.counter("mimosahub_load_report_failures_total", "Load reports that could not be read."))
{
}

void EndpointMonitor::start()
{
    boost::asio::co_spawn(m_io, pollLoop(), boost::asio::detached);
}

void EndpointMonitor::stop()
{
    m_stopped = true;
    m_timer.wake();
}

http::Awaitable<void> EndpointMonitor::pollLoop()
{
    while (!m_stopped) {
        for (auto &[id, entry] : m_entries) {
            if (!entry.polling) {
                entry.polling = true;
                boost::asio::co_spawn(m_io, poll(id), boost::asio::detached);
            }
        }
        co_await m_timer.sleep(m_clock.now(), std::nullopt, kPollInterval);
    }
}

http::Awaitable<void> EndpointMonitor::poll(EndpointId id)
{
    const auto address = m_entries.at(id).info.address;
    http::Request request(http::beast::http::verb::get, "/load", 11);
    const auto answer = co_await m_pool.call(address, std::move(request), kPollTimeout, kMaxReportBytes);
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        co_return;
    }
    it->second.polling = false;
    if (answer.ok() && answer->result_int() == 200) {
        takeReport(it->second, answer->body());
    } else {
        m_failedReports.add();
    }
}

void EndpointMonitor::takeReport(Entry &entry, std::string_view body)
{
    json::error_code ec;
    const auto value = json::parse({body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        m_failedReports.add();
        return;
    }
    const auto &object = value.get_object();
    const auto now = m_clock.now();
    LoadReport report;
    report.age = std::chrono::milliseconds(integerOf(object, "age_ms"));
    report.running = integerOf(object, "running");
    report.queued = integerOf(object, "queued");
    report.uptime = std::chrono::milliseconds(integerOf(object, "uptime_ms"));
    const auto *cold = object.if_contains("cold");
    report.cold = cold != nullptr && cold->is_bool() && cold->get_bool();
    entry.condition->reported(report, now);
    entry.report = QueueReport{now - report.age, report.running + report.queued, entry.inFlight->value()};
}

void EndpointMonitor::setListing(const InstanceListing &listing, const Configuration &configuration)
{
    const auto now = m_clock.now();
    std::set<EndpointId> listed;
    for (const auto &info : listing.endpoints) {
        const auto service = configuration.services.find(info.service);
        if (service == configuration.services.end()) {
            continue;
        }
        listed.insert(info.id);
        auto &entry = m_entries[info.id];
        // Another address or version under the same name is another process.
        const bool replaced =
            entry.condition && (entry.info.address != info.address || entry.info.version != info.version);
        entry.info = info;
        entry.service = service->second;
        if (!entry.condition || replaced) {
            entry.condition = std::make_unique<EndpointCondition>(m_endpointChart,
                                                                  EndpointConditionOptions::of(service->second), now);
            entry.report.reset();
        }
        entry.condition->listed(info.leaving, now);
    }
    std::erase_if(m_entries, [&](const auto &item) { return !listed.contains(item.first); });
}

void EndpointMonitor::take(const std::vector<CallFeedback> &feedback)
{
    const auto now = m_clock.now();
    for (const auto &it : feedback) {
        const auto entry = m_entries.find(it.endpoint);
        if (entry == m_entries.end()) {
            continue;
        }
        if (it.ok) {
            AnswerTiming timing;
            timing.latency = it.latency;
            timing.expected = entry->second.service.typicalTime;
            entry->second.condition->answered(timing, now);
        } else {
            ++entry->second.failures;
            entry->second.condition->failed(now);
        }
    }
}

int EndpointMonitor::allowedCalls(const Entry &entry, const EndpointLimit &limit, const RowContext &context) const
{
    const auto leased = static_cast<int>(context.holder.slotCounter(endpointSlots(entry.info.id))->slots(context.now));
    const auto part =
        static_cast<int>(fixedSplit(static_cast<std::uint32_t>(std::max(0, limit.calls)), context.members));
    switch (entry.condition->state()) {
    case EndpointState::Warm:
        return std::min(limit.calls, std::max(leased, part + 1));
    case EndpointState::Warming:
        return std::min(limit.calls, std::max(leased, part));
    default:
        return std::min(leased, limit.calls);
    }
}

/// Tells owner and holder what the endpoint bears and what this daemon wants.
void EndpointMonitor::tellDemand(Entry &entry, const RowContext &context)
{
    const auto limit = entry.condition->limit(context.now);
    const auto resource = endpointSlots(entry.info.id);
    const bool warm = entry.condition->state() == EndpointState::Warm;
    SlotLimit slots;
    slots.slots = static_cast<std::uint32_t>(std::max(0, limit.calls));
    slots.coldSlots = static_cast<std::uint32_t>(std::max(0, entry.service.coldLimit));
    slots.cold = entry.condition->state() == EndpointState::Cold;
    context.owner.setLimit(resource, slots);
    SlotDemand demand;
    demand.limit = slots.slots;
    demand.cold = slots.cold;
    demand.fallback = warm ? SlotFallback::FixedSplit : SlotFallback::None;
    // A cold endpoint's few slots go to daemons with calls that wait for them.
    const bool idle = slots.cold && context.waiting(entry.info.service) == 0;
    const auto wanted = static_cast<std::uint32_t>(entry.inFlight->value() + (idle ? 0 : 1));
    demand.wanted = std::min(slots.slots, wanted);
    entry.allowed = allowedCalls(entry, limit, context);
    // While there is room, what waits doesn't wait for more slots of this endpoint.
    demand.urgent = context.waiting(entry.info.service) > 0 && entry.inFlight->value() >= entry.allowed;
    context.holder.setDemand(resource, demand);
    if (!entry.gate) {
        entry.gate = std::make_shared<LeasedSlots>(context.holder.slotCounter(resource), m_clock);
    }
}

void EndpointMonitor::tick(const RowContext &context)
{
    const auto configuration = context.state.configuration();
    std::map<ZoneId, int> inFlight;
    Duration ramp(0);
    for (auto &[id, entry] : m_entries) {
        entry.condition->tick(context.now);
        tellDemand(entry, context);
        inFlight[entry.info.zone] += entry.inFlight->value();
        ramp = std::max(ramp, configuration->zoneRamp(entry.service));
        auto &last = m_lastStates[id];
        if (last != entry.condition->state()) {
            last = entry.condition->state();
            logEvent(LogLevel::Info, "endpoint-condition").with("endpoint", id).with("state", endpointStateName(last));
        }
    }
    for (const auto &[id, zone] : configuration->zones) {
        m_zones.applyOrder(id, context.state.zonesOut().contains(id), context.now);
        m_zones.inFlight(id, inFlight[id], context.now);
    }
    m_zones.tick(ramp, context.now);
}

std::vector<EndpointRow> EndpointMonitor::rows(const RowContext &context) const
{
    const auto configuration = context.state.configuration();
    std::vector<EndpointRow> result;
    for (const auto &[id, entry] : m_entries) {
        const auto limit = entry.condition->limit(context.now);
        EndpointRow row;
        row.info = entry.info;
        row.state = entry.condition->state();
        row.limit = limit.calls;
        row.allowed = entry.allowed;
        row.probe = limit.probe;
        row.drained = entry.info.leaving || context.state.drainedEndpoints().contains(id);
        row.zoneFactor = m_zones.factor(entry.info.zone, configuration->zoneRamp(entry.service), context.now);
        if (context.state.zonesOut().contains(entry.info.zone)) {
            row.zoneFactor = 0;
        }
        row.callTime = entry.service.typicalTime;
        row.report = entry.report;
        row.inFlight = entry.inFlight;
        row.gate = entry.gate;
        row.leasedOnly = row.state != EndpointState::Warm && row.state != EndpointState::Warming;
        result.push_back(std::move(row));
    }
    return result;
}

std::vector<EndpointSummary> EndpointMonitor::summaries(TimePoint now) const
{
    std::vector<EndpointSummary> result;
    for (const auto &[id, entry] : m_entries) {
        result.push_back({entry.info, entry.condition->state(), entry.condition->limit(now).calls, entry.allowed,
                          entry.inFlight->value(), entry.failures});
    }
    return result;
}

} // namespace mimosahub
