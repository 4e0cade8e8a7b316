#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahub
{

/// Identifies a body by its content: two 64-bit hashes with different seeds. It
/// distinguishes the bodies of a well-behaved caller. It isn't meant to resist a
/// caller who constructs colliding bodies: that only confuses the repeats of the
/// caller's own idempotency keys.
struct BodyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const BodyDigest &, const BodyDigest &) = default;
};

/// \a digest as 32 hexadecimal digits in lower case.
[[nodiscard]] std::string hexText(const BodyDigest &digest);
/// Parses the output of hexText(); absent for any other text.
[[nodiscard]] std::optional<BodyDigest> parseHexText(std::string_view text);

/// The body digest of a claim as recorded in the log. Format version 1 of the log
/// recorded only 64 bits, made by folding the 128-bit digest.
class RecordedDigest
{
public:
    RecordedDigest() = default;
    explicit RecordedDigest(const BodyDigest &whole);
    /// A 64-bit digest recorded under format version 1.
    explicit RecordedDigest(std::uint64_t folded);

    /// Whether both may identify the same body. Compares all 128 bits, or the
    /// folded 64 bits if either was recorded under format version 1.
    [[nodiscard]] bool matches(const RecordedDigest &other) const;
    /// The 128-bit digest; absent if recorded under format version 1.
    [[nodiscard]] const std::optional<BodyDigest> &whole() const
    {
        return m_whole;
    }
    [[nodiscard]] std::uint64_t folded() const
    {
        return m_folded;
    }

    friend bool operator==(const RecordedDigest &, const RecordedDigest &) = default;

private:
    std::uint64_t m_folded = 0;
    std::optional<BodyDigest> m_whole;
};

} // namespace mimosahub
