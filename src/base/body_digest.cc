// The fold is the one that format version 1 recorded, so that a claim of that
// version still tells a repeat from a reuse until it is forgotten.

#include "mimosahub/body_digest.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>

namespace mimosahub
{

namespace
{

constexpr std::uint64_t kFoldFactor = 0x9e3779b97f4a7c15ULL;
constexpr std::size_t kHalfDigits = 16;
constexpr int kHexBase = 16;

std::uint64_t parseHalf(std::string_view digits)
{
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexBase);
    return value;
}

} // namespace

std::string hexText(const BodyDigest &digest)
{
    return absl::StrCat(absl::Hex(digest.high, absl::kZeroPad16), absl::Hex(digest.low, absl::kZeroPad16));
}

std::optional<BodyDigest> parseHexText(std::string_view text)
{
    const bool digits =
        std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    if (!digits || text.size() != 2 * kHalfDigits) {
        return std::nullopt;
    }
    return BodyDigest{parseHalf(text.substr(0, kHalfDigits)), parseHalf(text.substr(kHalfDigits))};
}

RecordedDigest::RecordedDigest(const BodyDigest &whole)
    : m_folded(whole.high ^ (whole.low * kFoldFactor)), m_whole(whole)
{
}

RecordedDigest::RecordedDigest(std::uint64_t folded) : m_folded(folded)
{
}

bool RecordedDigest::matches(const RecordedDigest &other) const
{
    const bool bothWhole = m_whole && other.m_whole;
    return bothWhole ? *m_whole == *other.m_whole : m_folded == other.m_folded;
}

} // namespace mimosahub
