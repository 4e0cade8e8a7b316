// The log's format. Each type lists its fields once (record_fields.h) for both
// the writer and the reader, so the two can't diverge. A batch is read in two
// layers: a damaged envelope invalidates the whole append, a bad record only
// itself, because a daemon's batch contains records of many operators and calls.

#include "mimosahub/record.h"

#include "control/json_archive.h"
#include "control/record_fields.h"

#include <absl/strings/str_cat.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mimosahub
{

namespace
{

/// Version 2 stores the full digest of a claim; version 1 stored 64 bits of it.
constexpr int kFormatVersion = 2;
constexpr int kOldestFormatVersion = 1;

/// Names of the kinds, in the order of Record's alternatives.
constexpr std::array<std::string_view, std::variant_size_v<Record>> kKinds = {
    "publish",      "zone-order",     "drain-order",         "rollout-start", "rollout-abort", "rollout-take-back",
    "rollout-done", "endpoint-order", "endpoint-order-done", "lease-acquire", "lease-renew",   "lease-release",
    "claim",        "claim-outcome",  "member-join",         "member-leave",  "member-evict",  "snapshot-part",
};

absl::Status invalid(std::string_view message)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", message);
}

/// A Record that holds the default value of alternative \a index.
template<std::size_t Index = 0>
Record emptyRecord(std::size_t index)
{
    if constexpr (Index + 1 < std::variant_size_v<Record>) {
        if (index != Index) {
            return emptyRecord<Index + 1>(index);
        }
    }
    return Record(std::in_place_index<Index>);
}

absl::StatusOr<Record> recordFromJson(const boost::json::value &json)
{
    JsonReader reader(json);
    std::string kind;
    reader.field("k", kind);
    const auto it = std::find(kKinds.begin(), kKinds.end(), kind);
    if (it == kKinds.end()) {
        // A missing or wrongly typed kind has its own error; any other is unknown.
        reader.fail("k", absl::StrCat("names an unknown kind '", kind, "'"), absl::StatusCode::kUnimplemented);
        return reader.finish();
    }
    auto record = emptyRecord(static_cast<std::size_t>(it - kKinds.begin()));
    std::visit([&](auto &alternative) { reader.fields(alternative); }, record);
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    return record;
}

absl::Status checkVersion(const boost::json::object &object)
{
    const auto *version = object.if_contains("v");
    if (!version || !version->is_int64()) {
        return invalid("v must be a whole number");
    }
    if (version->get_int64() < kOldestFormatVersion || version->get_int64() > kFormatVersion) {
        return errorAt(absl::StatusCode::kUnimplemented, Step::Parse, "",
                       absl::StrCat("format version ", version->get_int64(), " is unknown"));
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<boost::json::value> parseJson(std::string_view text)
{
    boost::json::error_code ec;
    auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), ec);
    if (ec) {
        return invalid(absl::StrCat("damaged JSON: ", ec.message()));
    }
    return value;
}

std::string RecordPosition::str() const
{
    return absl::StrCat(offset.value(), ".", index);
}

std::string_view kindOf(const Record &record)
{
    return kKinds.at(record.index());
}

std::string encodeRecord(const Record &record)
{
    JsonWriter writer;
    writer.field("k", std::string(kindOf(record)));
    std::visit([&](const auto &alternative) { writer.fields(alternative); }, record);
    return boost::json::serialize(writer.take());
}

std::string encodeBatch(const BatchHeader &header, const std::vector<std::string> &encodedRecords)
{
    JsonWriter writer;
    writer.field("v", kFormatVersion);
    writer.fields(header);
    auto text = boost::json::serialize(writer.take());
    text.pop_back(); // Reopens the object to add the records, which are already JSON text.
    text += ",\"r\":[";
    for (std::size_t i = 0; i < encodedRecords.size(); ++i) {
        text += i > 0 ? "," : "";
        text += encodedRecords[i];
    }
    text += "]}";
    return text;
}

std::string encodeBatch(const RecordBatch &batch)
{
    std::vector<std::string> encoded;
    encoded.reserve(batch.records.size());
    for (const auto &it : batch.records) {
        encoded.push_back(encodeRecord(it));
    }
    return encodeBatch(batch.header, encoded);
}

absl::StatusOr<Record> decodeRecord(std::string_view data)
{
    auto json = parseJson(data);
    if (!json.ok()) {
        return json.status();
    }
    return recordFromJson(*json);
}

absl::StatusOr<DecodedBatch> decodeBatch(std::string_view data)
{
    if (data.size() > kMaxBatchBytes) {
        return errorAt(absl::StatusCode::kResourceExhausted, Step::Parse, "", "the append is too long");
    }
    auto json = parseJson(data);
    if (!json.ok()) {
        return json.status();
    }
    if (!json->is_object()) {
        return invalid("the append must be an object");
    }
    if (auto status = checkVersion(json->get_object()); !status.ok()) {
        return status;
    }
    json->get_object().erase("v");
    const auto *records = json->get_object().if_contains("r");
    if (!records || !records->is_array() || records->get_array().size() > kMaxBatchRecords) {
        return invalid("r must be an array of at most 1024 records");
    }
    DecodedBatch batch;
    for (const auto &it : records->get_array()) {
        batch.records.push_back(recordFromJson(it));
    }
    json->get_object().erase("r");
    JsonReader reader(*json);
    reader.fields(batch.header);
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    if (batch.header.writer.empty() || batch.header.incarnation.value() == 0 || batch.header.sequence.value() == 0) {
        return invalid("writer, incarnation and sequence must be set");
    }
    return batch;
}

} // namespace mimosahub
