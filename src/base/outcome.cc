// One table holds the contract of every refusal: its name and HTTP status. The
// golden test prints the table, so that a change of contract shows in review.

#include "mimosahub/outcome.h"

#include "base/utf8.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosahub
{

namespace
{

struct ReasonRow {
    Reason reason;
    std::string_view name;
    int httpStatus;
};

constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
constexpr int kBadGateway = 502;

constexpr std::array kReasons = {
    ReasonRow{Reason::None, "none", 200},
    ReasonRow{Reason::BadRequest, "bad-request", 400},
    ReasonRow{Reason::UnknownRoute, "unknown-route", 404},
    ReasonRow{Reason::UnknownWorkspace, "unknown-workspace", 403},
    ReasonRow{Reason::UnknownKey, "unknown-key", 401},
    ReasonRow{Reason::TooLarge, "too-large", 413},
    ReasonRow{Reason::HeaderTooLarge, "header-too-large", 431},
    ReasonRow{Reason::RequestTimeout, "request-timeout", 408},
    ReasonRow{Reason::KeyRequired, "key-required", 400},
    ReasonRow{Reason::KeyExpired, "key-expired", 409},
    ReasonRow{Reason::KeyReused, "key-reused", 422},
    ReasonRow{Reason::InProgress, "in-progress", 409},
    ReasonRow{Reason::ShareExceeded, "share-exceeded", 429},
    ReasonRow{Reason::Overloaded, "overloaded", 503},
    ReasonRow{Reason::DeadlineTooShort, "deadline-too-short", 504},
    ReasonRow{Reason::DeadlinePassed, "deadline-passed", 504},
    ReasonRow{Reason::NoEndpoint, "no-endpoint", 503},
    ReasonRow{Reason::EndpointFailed, "endpoint-failed", 502},
    ReasonRow{Reason::EndpointLost, "endpoint-lost", 502},
    ReasonRow{Reason::NotFresh, "not-fresh", 503},
    ReasonRow{Reason::LogDown, "log-down", 503},
    ReasonRow{Reason::Quarantined, "quarantined", 503},
    ReasonRow{Reason::Draining, "draining", 503},
    ReasonRow{Reason::CallerLeft, "caller-left", 499},
};

constexpr std::array<std::string_view, 4> kOutcomes = {"ok", "failed", "not-run", "unknown"};

const ReasonRow &rowOf(Reason reason)
{
    return kReasons.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return kOutcomes.at(static_cast<std::size_t>(outcome));
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
        if (kOutcomes.at(i) == name) {
            return static_cast<Outcome>(i);
        }
    }
    return std::nullopt;
}

std::string_view reasonName(Reason reason)
{
    return rowOf(reason).name;
}

Refusal makeRefusal(Reason reason, std::string detail, Step step, std::optional<Duration> retryAfter)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    refusal.step = std::string(stepName(step));
    refusal.retryAfter = retryAfter;
    return refusal;
}

bool promisesNotRun(int status)
{
    return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) != kNotRunStatuses.end();
}

int httpStatus(const Refusal &refusal)
{
    const int status = rowOf(refusal.reason).httpStatus;
    return promisesNotRun(status) && refusal.outcome != Outcome::NotRun ? kBadGateway : status;
}

std::string refusalBody(const Refusal &refusal, std::string_view requestId)
{
    boost::json::object body;
    body["outcome"] = outcomeName(refusal.outcome);
    body["reason"] = reasonName(refusal.reason);
    body["detail"] = validUtf8(refusal.detail);
    body["step"] = validUtf8(refusal.step);
    body["peer"] = validUtf8(refusal.peer);
    body["request"] = validUtf8(requestId);
    if (refusal.retryAfter) {
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*refusal.retryAfter).count();
    }
    return boost::json::serialize(boost::json::object{{"error", std::move(body)}});
}

} // namespace mimosahub
