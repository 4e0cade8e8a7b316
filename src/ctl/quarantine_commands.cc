// The commands for quarantined content of requests.

#include "ctl/session.h"

#include "mimosahub/error.h"

#include <boost/json.hpp>

namespace mimosahub::ctl
{

namespace
{

namespace json = boost::json;

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

std::string text(const json::object &row, std::string_view key)
{
    const auto *value = row.if_contains(key);
    if (value == nullptr) {
        return "-";
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

bool isActive(const json::object &row)
{
    const auto *active = row.if_contains("active");
    return active != nullptr && active->is_bool() && active->get_bool();
}

/// Whether requests are refused that hold this content alone.
bool isAlone(const json::object &row)
{
    const auto *with = row.if_contains("with");
    return with == nullptr || !with->is_array() || with->get_array().empty();
}

} // namespace

ExitCode Session::quarantines()
{
    const auto reply = m_client.get("/quarantines");
    if (!reply.ok()) {
        return fail(reply.status());
    }
    const auto *object = reply->body.if_object();
    const auto *rows = object ? object->if_contains("quarantines") : nullptr;
    if (reply->status != kHttpOk || !rows || !rows->is_array()) {
        return fail(answerError(*reply));
    }
    if (m_line.json) {
        writeJson(reply->body);
        return ExitCode::Done;
    }
    for (const auto &value : rows->get_array()) {
        if (const auto *row = value.if_object()) {
            m_environment.out << text(*row, "service") << " " << text(*row, "part") << ": "
                              << (isActive(*row) ? "active" : "ended") << ", " << text(*row, "crashes") << " crashes, "
                              << text(*row, "trials") << " trials, began " << text(*row, "age_s") << " s ago, "
                              << text(*row, "kind") << (isAlone(*row) ? "" : " together with " + text(*row, "with"))
                              << "\n";
        }
    }
    return ExitCode::Done;
}

ExitCode Session::endQuarantine()
{
    const auto reply = m_client.post("/quarantines/end",
                                     json::object{{"service", m_line.arguments[0]}, {"part", m_line.arguments[1]}});
    if (!reply.ok()) {
        return fail(reply.status());
    }
    return reply->status == kHttpAccepted ? ExitCode::Done : fail(answerError(*reply));
}

} // namespace mimosahub::ctl
