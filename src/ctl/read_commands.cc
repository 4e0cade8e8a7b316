// The commands that only read: status, orders, explain and top.

#include "ctl/session.h"

#include "mimosahub/error.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <iomanip>
#include <span>
#include <sstream>

namespace mimosahub::ctl
{

namespace
{

namespace json = boost::json;

constexpr int kHttpOk = 200;

struct Column {
    const char *key;
    const char *title;
};

constexpr std::array kWorkspaceColumns = {
    Column{"workspace", "WORKSPACE"}, Column{"open", "OPEN"},     Column{"queued", "QUEUED"},
    Column{"share", "SHARE"},         Column{"used", "USED"},     Column{"requests", "REQUESTS"},
    Column{"refused", "REFUSED"},     Column{"p50_ms", "P50 MS"}, Column{"p99_ms", "P99 MS"},
};
constexpr std::array kEndpointColumns = {
    Column{"endpoint", "ENDPOINT"}, Column{"service", "SERVICE"}, Column{"zone", "ZONE"},
    Column{"version", "VERSION"},   Column{"state", "STATE"},     Column{"open", "OPEN"},
    Column{"limit", "LIMIT"},       Column{"failed", "FAILED"},
};

std::string cellText(const json::value &row, const char *key)
{
    const auto *object = row.if_object();
    const auto *value = object ? object->if_contains(key) : nullptr;
    if (!value) {
        return "-";
    }
    if (value->is_double()) {
        std::ostringstream text;
        text << std::setprecision(4) << value->get_double();
        return text.str();
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

// Writes one line for each row, with columns as wide as their widest cell.
void writeTable(std::ostream &out, const json::value *rows, std::span<const Column> columns)
{
    if (!rows || !rows->is_array()) {
        return;
    }
    std::vector<std::vector<std::string>> lines(1);
    std::vector<std::size_t> widths;
    for (const auto &column : columns) {
        lines[0].emplace_back(column.title);
        widths.push_back(lines[0].back().size());
    }
    for (const auto &row : rows->get_array()) {
        auto &line = lines.emplace_back();
        for (std::size_t i = 0; i < columns.size(); ++i) {
            line.push_back(cellText(row, columns[i].key));
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            const bool last = i + 1 == line.size();
            out << line[i] << (last ? "\n" : std::string(widths[i] - line[i].size() + 2, ' '));
        }
    }
}

} // namespace

ExitCode Session::status()
{
    if (!m_line.arguments.empty()) {
        const auto offset = parseOffset(m_line.arguments.front());
        if (!offset) {
            return fail(errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", "OFFSET must be a whole number"));
        }
        if (m_line.wait || m_line.waitDone) {
            return follow(*offset);
        }
    }
    const auto reply =
        m_client.get("/v1/status" + (m_line.arguments.empty() ? "" : "?offset=" + m_line.arguments.front()));
    const auto status = reply.ok() ? readStatus(*reply) : absl::StatusOr<ChangeStatus>(reply.status());
    if (!status.ok()) {
        return fail(status.status());
    }
    if (m_line.wait || m_line.waitDone) {
        return follow(status->offset);
    }
    if (m_line.json) {
        writeJson(reply->body);
    } else {
        writeStatus(*status);
    }
    return status->inForce ? ExitCode::Done : ExitCode::Pending;
}

ExitCode Session::orders()
{
    const auto reply = m_client.get("/v1/orders");
    const auto orders = reply.ok() ? readOrders(*reply) : absl::StatusOr<std::vector<OrderStatus>>(reply.status());
    if (!orders.ok()) {
        return fail(orders.status());
    }
    if (m_line.json) {
        writeJson(reply->body);
        return ExitCode::Done;
    }
    for (const auto &order : *orders) {
        m_environment.out << order.offset << " " << order.summary << " (" << order.operatorName << "): " << order.state
                          << (order.detail.empty() ? "" : ", ") << order.detail << "\n";
    }
    return ExitCode::Done;
}

ExitCode Session::explain()
{
    const auto &kind = m_line.arguments[0];
    if (kind != "service" && kind != "endpoint" && kind != "workspace") {
        return fail(errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "",
                            "explain takes service, endpoint or workspace, then its name"));
    }
    const auto reply = m_client.get("/v1/explain?" + kind + "="
                                    + boost::urls::encode(m_line.arguments[1], boost::urls::unreserved_chars));
    if (!reply.ok()) {
        return fail(reply.status());
    }
    const auto *object = reply->body.if_object();
    const auto *lines = object ? object->if_contains("lines") : nullptr;
    if (reply->status != kHttpOk || !lines || !lines->is_array()) {
        return fail(answerError(*reply));
    }
    if (m_line.json) {
        writeJson(reply->body);
        return ExitCode::Done;
    }
    for (const auto &line : lines->get_array()) {
        m_environment.out << cellText(line, "text") << "\n";
    }
    return ExitCode::Done;
}

ExitCode Session::top()
{
    const auto reply = m_client.get("/v1/top");
    if (!reply.ok()) {
        return fail(reply.status());
    }
    const auto *object = reply->body.if_object();
    if (reply->status != kHttpOk || !object) {
        return fail(answerError(*reply));
    }
    if (m_line.json) {
        writeJson(reply->body);
        return ExitCode::Done;
    }
    m_environment.out << cellText(reply->body, "instance") << ", applied " << cellText(reply->body, "applied") << "\n";
    writeTable(m_environment.out, object->if_contains("workspaces"), kWorkspaceColumns);
    writeTable(m_environment.out, object->if_contains("endpoints"), kEndpointColumns);
    return ExitCode::Done;
}

} // namespace mimosahub::ctl
