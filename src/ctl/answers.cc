// A daemon of a later version may add fields and leave out optional ones, so
// that only what the tool relies on is required; all else has a default.

#include "ctl/answers.h"

#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <array>

namespace mimosahub::ctl
{

namespace
{

namespace json = boost::json;

constexpr int kHttpOk = 200;

// Reads fields of one object and notes whether a required one was missing.
class Fields
{
public:
    explicit Fields(const json::value &value) : m_object(value.if_object()), m_whole(m_object != nullptr)
    {
    }

    std::string text(std::string_view key, bool required = false)
    {
        const auto *value = find(key);
        const auto *text = value ? value->if_string() : nullptr;
        m_whole = m_whole && (text || !required);
        return text ? std::string(*text) : std::string();
    }
    std::optional<std::uint64_t> number(std::string_view key, bool required = false)
    {
        const auto *value = find(key);
        json::error_code ec;
        const auto number = value && value->is_number() ? value->to_number<std::uint64_t>(ec) : 0;
        const bool read = value && value->is_number() && !ec;
        m_whole = m_whole && (read || !required);
        return read ? std::optional(number) : std::nullopt;
    }
    Offset offset(std::string_view key)
    {
        return Offset(number(key, true).value_or(0));
    }
    const json::value &value(std::string_view key)
    {
        static const json::value null;
        const auto *value = find(key);
        return value ? *value : null;
    }
    // The items of an array, or none.
    const json::array &items(std::string_view key, bool required = false)
    {
        static const json::array none;
        const auto *value = find(key);
        const auto *array = value ? value->if_array() : nullptr;
        m_whole = m_whole && (array || !required);
        return array ? *array : none;
    }
    [[nodiscard]] bool whole() const
    {
        return m_whole;
    }

private:
    const json::value *find(std::string_view key) const
    {
        return m_object ? m_object->if_contains(key) : nullptr;
    }

    const json::object *m_object;
    bool m_whole;
};

std::string orderSummary(Fields &fields)
{
    constexpr std::array kParts = {"zone", "endpoint", "service", "argument", "from"};
    std::string summary = fields.text("order", true);
    for (const char *const part : kParts) {
        if (const auto text = fields.text(part); !text.empty()) {
            absl::StrAppend(&summary, " ", text);
        }
    }
    if (const auto to = fields.text("to"); !to.empty()) {
        absl::StrAppend(&summary, " -> ", to);
    }
    return summary;
}

std::optional<ChangeState> stateFromName(std::string_view name)
{
    if (name == "accepted") {
        return ChangeState::Accepted;
    }
    if (name == "recorded") {
        return ChangeState::Recorded;
    }
    if (name == "rejected") {
        return ChangeState::Rejected;
    }
    return name == "not-accepted" ? std::optional(ChangeState::NotAccepted) : std::nullopt;
}

} // namespace

absl::Status answerError(const Reply &reply)
{
    Fields fields(reply.body);
    Fields error(fields.value("error"));
    auto detail = error.text("detail");
    if (detail.empty()) {
        detail = fields.text("detail");
    }
    const auto message = reply.status == kHttpOk
        ? std::string("the answer is not in the documented form")
        : absl::StrCat("HTTP status ", reply.status, detail.empty() ? "" : ": ", detail);
    return errorAt(absl::StatusCode::kInternal, Step::Receive, reply.daemon.str(), message);
}

absl::StatusOr<PublishedObjects> readObjects(const Reply &reply)
{
    Fields fields(reply.body);
    PublishedObjects published;
    published.applied = fields.offset("applied");
    bool whole = reply.status == kHttpOk;
    for (const auto &item : fields.items("objects", true)) {
        Fields object(item);
        const auto kind = kindFromName(object.text("kind", true));
        published.objects.push_back({{kind.value_or(ObjectKind::Zone), object.text("name", true)},
                                     object.offset("version"),
                                     object.value("spec")});
        whole = whole && kind && object.whole();
    }
    return whole && fields.whole() ? absl::StatusOr<PublishedObjects>(std::move(published)) : answerError(reply);
}

absl::StatusOr<ChangeOutcome> readOutcome(const Reply &reply)
{
    Fields fields(reply.body);
    const auto state = stateFromName(fields.text("state", true));
    if (!state) {
        return answerError(reply);
    }
    ChangeOutcome outcome;
    outcome.state = *state;
    if (const auto offset = fields.number("offset")) {
        outcome.offset = Offset(*offset);
    }
    outcome.reason = fields.text("reason");
    outcome.detail = fields.text("detail");
    for (const auto &item : fields.items("problems")) {
        outcome.problems.push_back(item.is_string() ? std::string(item.get_string()) : json::serialize(item));
    }
    if (const auto millis = fields.number("retry_after_ms")) {
        outcome.retryAfter = std::chrono::milliseconds(*millis);
    }
    const bool placed = outcome.state != ChangeState::Accepted || outcome.offset;
    return placed ? absl::StatusOr<ChangeOutcome>(std::move(outcome)) : answerError(reply);
}

absl::StatusOr<ChangeStatus> readStatus(const Reply &reply)
{
    Fields fields(reply.body);
    ChangeStatus status;
    status.offset = fields.offset("offset");
    status.inForce = fields.text("state", true) == "in-force";
    bool whole = reply.status == kHttpOk;
    for (const auto &item : fields.items("members", true)) {
        Fields member(item);
        status.members.push_back({member.text("instance", true), member.text("state", true), member.offset("applied"),
                                  member.text("detail")});
        whole = whole && member.whole();
    }
    for (const auto &item : fields.items("late")) {
        Fields late(item);
        status.late.push_back(
            {late.offset("offset"), late.text("service", true), late.text("to", true), late.text("detail")});
        whole = whole && late.whole();
    }
    return whole && fields.whole() ? absl::StatusOr<ChangeStatus>(std::move(status)) : answerError(reply);
}

absl::StatusOr<std::vector<OrderStatus>> readOrders(const Reply &reply)
{
    Fields fields(reply.body);
    std::vector<OrderStatus> orders;
    bool whole = reply.status == kHttpOk;
    for (const auto &item : fields.items("orders", true)) {
        Fields order(item);
        orders.push_back({order.offset("offset"), order.text("operator"), orderSummary(order),
                          order.text("state", true), order.text("reason"), order.text("detail")});
        whole = whole && order.whole();
    }
    return whole && fields.whole() ? absl::StatusOr<std::vector<OrderStatus>>(std::move(orders)) : answerError(reply);
}

} // namespace mimosahub::ctl
