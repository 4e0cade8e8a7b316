// The command for the duties that one daemon at a time carries out.

#include "ctl/session.h"

#include <boost/json.hpp>

namespace mimosahub::ctl
{

namespace
{

namespace json = boost::json;

constexpr int kHttpOk = 200;

std::string text(const json::object &row, std::string_view key)
{
    const auto *value = row.if_contains({key.data(), key.size()});
    if (value == nullptr) {
        return "-";
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

} // namespace

ExitCode Session::duties()
{
    const auto reply = m_client.get("/duties");
    if (!reply.ok()) {
        return fail(reply.status());
    }
    const auto *object = reply->body.if_object();
    const auto *rows = object ? object->if_contains("duties") : nullptr;
    if (reply->status != kHttpOk || !rows || !rows->is_array()) {
        return fail(answerError(*reply));
    }
    if (m_line.json) {
        writeJson(reply->body);
        return ExitCode::Done;
    }
    for (const auto &value : rows->get_array()) {
        if (const auto *row = value.if_object()) {
            m_environment.out << text(*row, "duty") << ": " << text(*row, "holder") << " since " << text(*row, "age_s")
                              << " s, token " << text(*row, "token") << "\n";
        }
    }
    if (rows->get_array().empty()) {
        m_environment.out << "this daemon knows of no holder; ask another one\n";
    }
    return ExitCode::Done;
}

} // namespace mimosahub::ctl
