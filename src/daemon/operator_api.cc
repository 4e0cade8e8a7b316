// Reads are answered from the control state; publishes and orders become records
// and are answered once the fold has given its verdict.

#include "daemon/operator_api.h"

#include "config/configuration_codec.h"
#include "daemon/operator_request.h"

#include <absl/strings/numbers.h>
#include <boost/json.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

/// How long an operator's record may wait for the log.
constexpr Duration kAppendPatience = std::chrono::seconds(5);
/// When a record whose append got no answer is called in doubt; longer, so that most doubts settle first.
constexpr Duration kInDoubtPatience = std::chrono::seconds(7);
/// How long an accepted record may then take until a majority of the daemons holds it.
constexpr Duration kMajorityPatience = std::chrono::seconds(3);

http::Response jsonResponse(int status, const json::value &body)
{
    return http::makeResponse(status, http::kJsonType, json::serialize(body) + "\n");
}

json::object state(std::string_view name)
{
    json::object body;
    body["state"] = name;
    return body;
}

http::Response notAccepted(std::string_view reason, std::string_view detail, Duration retryAfter)
{
    auto body = state("not-accepted");
    body["reason"] = reason;
    body["detail"] = detail;
    body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return jsonResponse(503, body);
}

/// An error of a request that is no publish and no order.
http::Response errorResponse(int status, std::string_view reason, std::string_view detail)
{
    json::object error;
    error["reason"] = reason;
    error["detail"] = detail;
    error["step"] = "parse";
    error["peer"] = "";
    json::object body;
    body["error"] = std::move(error);
    return jsonResponse(status, body);
}

http::Response badRequest(const absl::Status &status)
{
    const bool unknownVersion = absl::IsFailedPrecondition(status);
    const bool unknown = absl::IsNotFound(status) || unknownVersion;
    auto body = state("rejected");
    body["reason"] = unknownVersion ? "unknown-version" : (unknown ? "unknown-endpoint" : "bad-request");
    body["detail"] = std::string_view(status.message().data(), status.message().size());
    return jsonResponse(unknown ? 404 : 400, body);
}

/// The record is in the log and counts, but too few daemons are known to hold it.
http::Response recorded(const RecordPosition &position)
{
    auto body = state("recorded");
    body["offset"] = position.offset.value();
    body["index"] = position.index;
    body["reason"] = "no-majority";
    body["detail"] = "recorded and valid, but not known to be held by a majority of the daemons; ask for its status";
    return jsonResponse(202, body);
}

http::Response verdictResponse(const Verdict &verdict)
{
    auto body = state(verdict.accepted() ? "accepted" : "rejected");
    body["offset"] = verdict.position.offset.value();
    body["index"] = verdict.position.index;
    if (!verdict.accepted()) {
        body["reason"] = rejectionName(verdict.rejection);
        body["detail"] = verdict.message;
        json::array problems;
        for (const auto &problem : verdict.problems) {
            problems.push_back(json::string(problem));
        }
        body["problems"] = std::move(problems);
    }
    return jsonResponse(verdict.accepted() ? 200 : 409, body);
}

std::string_view confirmationName(ConfirmationState state)
{
    switch (state) {
    case ConfirmationState::Confirmed:
        return "confirmed";
    case ConfirmationState::Expired:
        return "freshness-expired";
    case ConfirmationState::Ended:
        return "ended";
    case ConfirmationState::Pending:
        break;
    }
    return "pending";
}

json::object memberJson(const MemberConfirmation &it)
{
    json::object entry;
    entry["instance"] = it.member.id.str();
    entry["incarnation"] = it.member.incarnation.value();
    entry["state"] = confirmationName(it.state);
    entry["applied"] = it.applied.value();
    switch (it.state) {
    case ConfirmationState::Expired:
        entry["detail"] = "not heard from; its freshness has run out, so that it sends no new work";
        break;
    case ConfirmationState::Ended:
        entry["detail"] = "this process has ended";
        break;
    case ConfirmationState::Pending:
        entry["detail"] = "may still act on what was before";
        break;
    case ConfirmationState::Confirmed:
        break;
    }
    return entry;
}

} // namespace

OperatorApi::OperatorApi(ControlThread &control, const Clock &clock, MetricRegistry &metrics,
                         const RequestMetrics &requests, std::uint64_t memoryBytes)
    : m_control(control),
      m_clock(clock),
      m_metrics(metrics),
      m_requests(requests),
      m_process(metrics),
      m_memoryMetrics(clock, metrics, "operators", memoryBytes),
      m_memory(clock, {.budget = memoryBytes})
{
    m_memory.setObserver(&m_memoryMetrics);
}

absl::Status OperatorApi::listen(const Address &address)
{
    auto server = http::Server::listen(m_control.io(), address, http::ServerOptions::forOperators(),
                                       [this](http::Exchange &exchange) { return handle(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    m_server = *server;
    m_server->setMemory(m_memory);
    m_process.addServer("operators", m_server->counters());
    m_server->start();
    return absl::OkStatus();
}

http::Awaitable<void> OperatorApi::handle(http::Exchange &exchange)
{
    auto response = co_await answer(exchange.request());
    co_await exchange.answer(std::move(response));
}

http::Awaitable<http::Response> OperatorApi::answer(const http::Request &request)
{
    const std::string target(http::fromBeast(request.target()));
    const auto path = http::pathOf(target);
    const bool post = request.method() == http::beast::http::verb::post;
    if (path == "/healthz") {
        co_return health();
    }
    if (path == "/readyz") {
        co_return readiness();
    }
    if (path == "/metrics") {
        m_process.update();
        co_return http::makeResponse(200, "text/plain; version=0.0.4", m_metrics.render());
    }
    if (path == "/v1/objects") {
        co_return objects();
    }
    if (path == "/v1/status") {
        co_return status(target);
    }
    if (path == "/v1/publish" && post) {
        co_return co_await publish(request.body());
    }
    if (path == "/v1/orders" && post) {
        co_return co_await order(request.body());
    }
    if (path == "/v1/orders") {
        co_return orders();
    }
    if (path == "/v1/top") {
        co_return top();
    }
    if (path == "/v1/explain") {
        co_return explain(target);
    }
    auto body = state("rejected");
    body["reason"] = "unknown-route";
    body["detail"] = "no such path or method";
    co_return jsonResponse(404, body);
}

http::Awaitable<http::Response> OperatorApi::publish(std::string body)
{
    auto record = readPublish(body);
    if (!record.ok()) {
        co_return badRequest(record.status());
    }
    co_return co_await append(std::move(*record));
}

http::Awaitable<http::Response> OperatorApi::order(std::string body)
{
    const auto serviceOf = [this](const EndpointId &id) {
        for (const auto &endpoint : m_control.listing().endpoints) {
            if (endpoint.id == id) {
                return endpoint.service;
            }
        }
        return ServiceId();
    };
    const auto versionIsListed = [this](const ServiceId &service, const VersionId &version) {
        const auto &endpoints = m_control.listing().endpoints;
        // Whether there is such a service at all is for the fold to say.
        return !m_control.log().state().configuration()->services.contains(service)
            || std::any_of(endpoints.begin(), endpoints.end(),
                           [&](const auto &it) { return it.service == service && it.version == version; });
    };
    auto record = readOrder(body, serviceOf, versionIsListed);
    if (!record.ok()) {
        co_return badRequest(record.status());
    }
    co_return co_await append(std::move(*record));
}

http::Awaitable<http::Response> OperatorApi::append(Record record)
{
    auto &log = m_control.log();
    const auto deadline = m_clock.now() + kAppendPatience;
    const auto giveUp = m_clock.now() + kInDoubtPatience;
    const auto outcome = co_await log.append(std::move(record), deadline, Urgency::Normal, giveUp);
    if (!outcome.ok()) {
        if (absl::IsDeadlineExceeded(outcome.status())) {
            co_return notAccepted("in-doubt",
                                  "the log may have taken the record or may take it yet; read back the objects",
                                  log.writer().retryAfter(m_clock.now()));
        }
        if (absl::IsInvalidArgument(outcome.status())) {
            co_return badRequest(outcome.status());
        }
        co_return notAccepted("log-down", std::string(outcome.status().message()),
                              log.writer().retryAfter(m_clock.now()));
    }
    switch (outcome->resolution) {
    case AppendResolution::Accepted:
        if (!co_await m_control.peers().acceptedByMajority(outcome->verdict.position.offset, kMajorityPatience)) {
            co_return recorded(outcome->verdict.position);
        }
        co_return verdictResponse(outcome->verdict);
    case AppendResolution::Rejected:
        co_return verdictResponse(outcome->verdict);
    case AppendResolution::NotAppended:
        co_return notAccepted("log-down", "the log did not take the record in time", outcome->retryAfter);
    case AppendResolution::VerdictLost:
        break;
    }
    co_return notAccepted("verdict-lost", "the record is in the log; read back the objects to see its effect",
                          Duration(0));
}

http::Response OperatorApi::objects() const
{
    const auto &control = m_control.log().state();
    json::object body;
    body["applied"] = control.appliedOffset().value();
    json::array list;
    for (const auto &[key, object] : control.objects()) {
        json::object entry;
        entry["kind"] = kindName(key.kind);
        entry["name"] = key.name;
        entry["version"] = object.version.value();
        entry["spec"] = json::parse(object.spec);
        list.push_back(std::move(entry));
    }
    body["objects"] = std::move(list);
    return jsonResponse(200, body);
}

http::Response OperatorApi::status(std::string_view target) const
{
    const auto text = http::queryValue(target, "offset");
    std::uint64_t number = m_control.log().state().appliedOffset().value();
    if (!text.empty() && !absl::SimpleAtoi(text, &number)) {
        return badRequest(absl::InvalidArgumentError("\"offset\" is not a whole number"));
    }
    const Offset offset(number);
    const auto now = m_clock.now();
    const auto &confirmations = m_control.peers().confirmations();
    json::array members;
    for (const auto &it : confirmations.confirmations(offset, now)) {
        members.push_back(memberJson(it));
    }
    json::object body;
    body["offset"] = offset.value();
    body["state"] = confirmations.inForce(offset, now) ? "in-force" : "pending";
    body["members"] = std::move(members);
    body["late"] = lateRollouts(m_control.log().state(), m_clock.wallTime(), m_control.rollouts().summaries());
    return jsonResponse(200, body);
}

http::Response OperatorApi::orders() const
{
    const auto now = m_clock.now();
    const auto &confirmations = m_control.peers().confirmations();
    const auto inForce = [&](Offset offset) { return confirmations.inForce(offset, now); };
    return jsonResponse(
        200, ordersView(m_control.log().state(), inForce, m_clock.wallTime(), m_control.rollouts().summaries()));
}

OperatorSources OperatorApi::sources() const
{
    const auto now = m_clock.now();
    OperatorSources sources{m_control.peers().self().id,
                            m_control.log().state(),
                            m_control.endpoints().zones(),
                            m_control.endpoints().summaries(now),
                            {},
                            m_control.workspaces()->loads(),
                            m_requests.activity(),
                            m_control.rollouts().summaries(),
                            now,
                            m_clock.wallTime()};
    for (const auto &it : sources.endpoints) {
        sources.leasedSlots[it.info.id] =
            m_control.peers().slotHolder().slotCounter(endpointSlots(it.info.id))->slots(now);
    }
    return sources;
}

http::Response OperatorApi::top() const
{
    return jsonResponse(200, topView(sources()));
}

http::Response OperatorApi::explain(std::string_view target) const
{
    const auto service = http::queryValue(target, "service");
    const auto endpoint = http::queryValue(target, "endpoint");
    const auto workspace = http::queryValue(target, "workspace");
    const int named = (service.empty() ? 0 : 1) + (endpoint.empty() ? 0 : 1) + (workspace.empty() ? 0 : 1);
    if (named != 1) {
        return errorResponse(400, "bad-request", "name one service, endpoint or workspace");
    }
    const auto all = sources();
    auto body = explainWorkspace(all, WorkspaceId(workspace));
    if (!service.empty()) {
        body = explainService(all, ServiceId(service));
    } else if (!endpoint.empty()) {
        body = explainEndpoint(all, EndpointId(endpoint));
    }
    if (!body) {
        return errorResponse(404, "unknown-subject", "there is no service, endpoint or workspace of that name");
    }
    return jsonResponse(200, *body);
}

http::Response OperatorApi::health() const
{
    json::object body;
    body["phase"] = phaseName(m_control.phase());
    return jsonResponse(200, body);
}

http::Response OperatorApi::readiness() const
{
    json::object body;
    body["phase"] = phaseName(m_control.phase());
    body["ready"] = m_control.phase() == DaemonPhase::Serving;
    return jsonResponse(m_control.phase() == DaemonPhase::Serving ? 200 : 503, body);
}

} // namespace mimosahub
