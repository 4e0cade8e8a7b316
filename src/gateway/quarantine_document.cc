// JSON, so that people can read what stands in the store.

#include "gateway/quarantine_document.h"

#include "base/hash.h"
#include "config/object_reader.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

#include <algorithm>

namespace mimosahub
{

namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr const char *kSeparator = ","; ///< Of ids, which hold none: prompts are split at it.
constexpr Range<std::uint32_t> kCount = {0, 1'000'000'000};
constexpr Range<std::int64_t> kUnixMs = {0, 10'000'000'000'000};

std::int64_t unixMs(TimePoint at, const Clock &clock)
{
    const auto wall = clock.wallTime().time_since_epoch() - (clock.now() - at);
    return std::chrono::duration_cast<milliseconds>(wall).count();
}

/// The time that \a ms stood for; a clock that is behind the writer's makes it now.
TimePoint timeOf(std::int64_t ms, const Clock &clock)
{
    const auto age = clock.wallTime().time_since_epoch() - milliseconds(ms);
    return clock.now() - std::max(Duration::zero(), std::chrono::duration_cast<Duration>(age));
}

} // namespace

std::string quarantineKey(const ContentId &content)
{
    // Without the kind of shared parts, which were the only content once.
    const auto kind = static_cast<std::uint64_t>(content.kind);
    return absl::StrCat(absl::Hex(hashBytes(content.id, hashBytes(content.service.str())) + kind, absl::kZeroPad16));
}

std::string writeQuarantineDocument(const Quarantine &quarantine, const Clock &clock)
{
    json::object document{{"service", quarantine.content.service.str()},
                          {"part", quarantine.content.id},
                          {"kind", std::string(contentKindName(quarantine.content.kind))},
                          {"number", quarantine.number},
                          {"ended", quarantine.ended},
                          {"trials", quarantine.trials},
                          {"answered_before", quarantine.answeredBefore},
                          {"crashes", quarantine.crashes},
                          {"since_ms", unixMs(quarantine.since, clock)},
                          {"changed_ms", unixMs(quarantine.changedAt, clock)}};
    if (!quarantine.with.empty()) {
        document["with"] = absl::StrJoin(quarantine.with, kSeparator);
    }
    return json::serialize(document);
}

absl::StatusOr<Quarantine> readQuarantineDocument(std::string_view key, std::string_view document, const Clock &clock)
{
    json::error_code ec;
    const auto value = json::parse({document.data(), document.size()}, ec);
    if (ec) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, key, "a quarantine is no JSON");
    }
    std::vector<Problem> problems;
    ObjectReader reader(value, {"", ""}, problems);
    Quarantine quarantine;
    std::int64_t sinceMs = 0;
    std::int64_t changedMs = 0;
    std::string with;
    std::string kind(contentKindName(ContentKind::SharedPart)); // Of a document that says none.
    reader.id("service", quarantine.content.service, Presence::Required);
    reader.text("part", quarantine.content.id, Presence::Required);
    reader.text("kind", kind);
    reader.text("with", with);
    reader.integer("number", quarantine.number, kCount);
    reader.flag("ended", quarantine.ended);
    reader.integer("trials", quarantine.trials, kCount);
    reader.flag("answered_before", quarantine.answeredBefore);
    reader.integer("crashes", quarantine.crashes, kCount);
    reader.integer("since_ms", sinceMs, kUnixMs);
    reader.integer("changed_ms", changedMs, kUnixMs);
    if (!problems.empty()) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, key, problemLines(problems));
    }
    quarantine.content.kind = contentKindOf(kind);
    quarantine.with = absl::StrSplit(with, kSeparator[0], absl::SkipEmpty());
    std::sort(quarantine.with.begin(), quarantine.with.end());
    quarantine.since = timeOf(sinceMs, clock);
    quarantine.changedAt = timeOf(changedMs, clock);
    return quarantine;
}

} // namespace mimosahub
