#include "control/control_testing.h"

#include <criterion/criterion.h>
#include <fstream>
#include <iterator>

using namespace mimosahub;

namespace
{

RecordBatch batchOf(const std::vector<HistoryStep> &steps)
{
    RecordBatch batch{{InstanceId("d1"), Incarnation(3), Sequence(9), WallTime(std::chrono::hours(1))}, {}};
    for (const auto &it : steps) {
        batch.records.push_back(recordFor(it, {}, WallTime(std::chrono::hours(2))));
    }
    return batch;
}

std::string goldenText(const std::string &name)
{
    std::ifstream file("tests/golden/records/" + name);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    std::erase(text, '\n');
    return text;
}

/// The batch in \a text, which must contain every kind of record.
RecordBatch decodeEveryKind(const std::string &text)
{
    const auto decoded = decodeBatch(text);
    cr_assert(decoded.ok());
    RecordBatch batch{decoded->header, {}};
    std::set<std::size_t> kinds;
    for (const auto &it : decoded->records) {
        cr_assert(it.ok(), "%s", describe(it.status()).c_str());
        batch.records.push_back(*it);
        kinds.insert(it->index());
    }
    cr_assert(kinds.size() == std::variant_size_v<Record>, "every kind must be in the file");
    return batch;
}

} // namespace

Test(record, encoded_records_decode_to_equal_records)
{
    cr_assert(rc::check([](std::uint64_t digest, std::uint32_t part) {
        auto batch = batchOf(*genHistory());
        batch.records.emplace_back(SnapshotPart{Offset(digest), part, part, digest, "\"\\\n\xc3\xa9"});
        const auto decoded = decodeBatch(encodeBatch(batch));
        RC_ASSERT(decoded.ok());
        RC_ASSERT(decoded->header == batch.header);
        RC_ASSERT(decoded->records.size() == batch.records.size());
        for (std::size_t i = 0; i < batch.records.size(); ++i) {
            RC_ASSERT(decoded->records[i].ok());
            RC_ASSERT(*decoded->records[i] == batch.records[i]);
        }
    }));
}

Test(record, damaged_data_gives_a_typed_error_or_a_record_that_can_be_encoded_again)
{
    cr_assert(rc::check([] {
        auto data = encodeBatch(batchOf({*genHistoryStep(), *genHistoryStep()}));
        const auto n = *rc::gen::inRange(1, 4);
        for (int i = 0; i < n; ++i) {
            data.at(*rc::gen::inRange<std::size_t>(0, data.size())) = *rc::gen::arbitrary<char>();
        }
        const auto decoded = decodeBatch(data);
        if (!decoded.ok()) {
            RC_ASSERT(stepOf(decoded.status()) == "parse");
            return;
        }
        for (const auto &it : decoded->records) {
            if (it.ok()) {
                RC_ASSERT(*decodeRecord(encodeRecord(*it)) == *it);
            }
        }
    }));
}

Test(record, an_unknown_kind_or_field_invalidates_only_its_record)
{
    const auto batch = decodeBatch(R"({"v":1,"w":"d1","i":1,"s":1,"t":5,"r":[{"k":"future"},{"k":"member-leave"},)"
                                   R"({"k":"member-leave","x":1},{"k":"lease-renew","name":"n","fencing":-1}]})");
    cr_assert(batch.ok());
    cr_assert(batch->records.at(0).status().code() == absl::StatusCode::kUnimplemented);
    cr_assert(batch->records.at(1).ok());
    cr_assert(batch->records.at(2).status().code() == absl::StatusCode::kInvalidArgument);
    cr_assert(batch->records.at(3).status().code() == absl::StatusCode::kInvalidArgument);
    cr_assert(decodeBatch(R"({"v":3})").status().code() == absl::StatusCode::kUnimplemented);
    cr_assert(decodeBatch(std::string(kMaxBatchBytes + 1, ' ')).status().code()
              == absl::StatusCode::kResourceExhausted);
    const auto longName = encodeRecord(ZoneOrder{ZoneId(std::string(kMaxNameBytes + 1, 'z')), true, ""});
    cr_assert(decodeRecord(longName).status().code() == absl::StatusCode::kResourceExhausted);
}

// The log contains records written by other releases: a change that reads or
// writes this file differently needs a new format version.
Test(record, the_format_matches_the_golden_file)
{
    const auto text = goldenText("every-kind.json");
    const auto batch = decodeEveryKind(text);
    cr_assert(encodeBatch(batch) == text);
}

// Appends of version 1 differ only in the digest of a claim.
Test(record, appends_of_format_version_1_are_still_read)
{
    auto expected = decodeEveryKind(goldenText("every-kind.json"));
    for (auto &it : expected.records) {
        if (auto *claim = std::get_if<Claim>(&it)) {
            cr_assert(claim->bodyDigest.whole().has_value());
            claim->bodyDigest = RecordedDigest(claim->bodyDigest.folded());
        }
    }
    cr_assert(decodeEveryKind(goldenText("every-kind-version-1.json")).records == expected.records);
    const auto claim = [](const std::string &body) {
        return decodeRecord(R"({"k":"claim","workspace":"w","key":"k","expiry":5,"body":)" + body + "}").status();
    };
    cr_assert(claim("7").ok());
    cr_assert(claim(R"("0123456789abcdef0123456789abcdef")").ok());
    for (const auto *body : {R"("0123456789abcdef0123456789abcde")", R"("0123456789abcdef0123456789abcdeff")",
                             R"("0123456789ABCDEF0123456789abcdef")", R"("")", "-1", "1.5", "null", "{}"}) {
        cr_assert(claim(body).code() == absl::StatusCode::kInvalidArgument, "%s", body);
    }
}
