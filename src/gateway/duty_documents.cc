// JSON, so that people can read what stands in the store. Tokens are text, since a JSON number may
// lose digits above 2^53.

#include "gateway/duty_documents.h"

#include "mimosahub/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

constexpr std::string_view kAgreedPrefix = "agreed/";
/// Windows whose counts the store keeps: a report is repeated until it is due, which is within three
/// windows in the usual settings.
constexpr UsageWindowNumber kAgreedKept = 8;

absl::Status unreadable(std::string_view what)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "duties", what);
}

std::optional<std::uint64_t> numberIn(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    std::uint64_t number = 0;
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    const std::string text(value->get_string());
    return absl::SimpleAtoi(text, &number) ? std::optional(number) : std::nullopt;
}

std::optional<json::object> parseObject(std::string_view document)
{
    json::error_code ec;
    auto value = json::parse({document.data(), document.size()}, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

} // namespace

std::string agreedUsageKey(UsageWindowNumber window)
{
    return absl::StrCat(std::string(kAgreedPrefix), window % kAgreedKept);
}

bool isAgreedUsageKey(std::string_view key)
{
    return key.substr(0, kAgreedPrefix.size()) == kAgreedPrefix;
}

std::string writeDutyLease(const DutyLeaseRecord &record)
{
    return json::serialize(json::object{{"holder", record.holder.str()},
                                        {"incarnation", std::to_string(record.incarnation)},
                                        {"token", std::to_string(record.token)},
                                        {"renewal", std::to_string(record.renewal)}});
}

absl::StatusOr<DutyLeaseRecord> readDutyLease(std::string_view document)
{
    const auto object = parseObject(document);
    if (!object) {
        return unreadable("the lease is no JSON object");
    }
    const auto *holder = object->if_contains("holder");
    const auto incarnation = numberIn(*object, "incarnation");
    const auto token = numberIn(*object, "token");
    const auto renewal = numberIn(*object, "renewal");
    if (holder == nullptr || !holder->is_string() || !incarnation || !token || !renewal) {
        return unreadable("the lease lacks a member");
    }
    return DutyLeaseRecord{InstanceId(std::string(holder->get_string())), *incarnation, *token, *renewal};
}

std::string writeAgreedUsage(const AgreedUsage &agreed)
{
    json::object counts;
    for (const auto &[workspace, count] : agreed.counts) {
        counts[workspace.str()] = count;
    }
    return json::serialize(json::object{{"window", agreed.window}, {"counts", std::move(counts)}});
}

absl::StatusOr<AgreedUsage> readAgreedUsage(std::string_view document)
{
    const auto object = parseObject(document);
    const auto *window = object ? object->if_contains("window") : nullptr;
    const auto *counts = object ? object->if_contains("counts") : nullptr;
    if (window == nullptr || !window->is_int64() || counts == nullptr || !counts->is_object()) {
        return unreadable("agreed counts lack a member");
    }
    AgreedUsage agreed;
    agreed.window = window->get_int64();
    for (const auto &entry : counts->get_object()) {
        json::error_code ec;
        const auto count = entry.value().is_number() ? entry.value().to_number<std::uint64_t>(ec) : 0;
        if (ec || !entry.value().is_number()) {
            return unreadable("an agreed count is no number");
        }
        agreed.counts[WorkspaceId(std::string(entry.key()))] = count;
    }
    return agreed;
}

} // namespace mimosahub
