// A snapshot is the state's JSON text, split into parts. The digest of the whole
// text identifies it, so parts are never joined with those of another state, and
// the digest is checked again after the parts are joined.

#include "control/snapshot.h"

#include "base/hash.h"

namespace mimosahub
{

namespace
{

/// The largest length up to \a limit at which \a text can be cut from \a start
/// without splitting a UTF-8 sequence: each part must be valid text on its own.
std::size_t cutLength(std::string_view text, std::size_t start, std::size_t limit)
{
    if (text.size() - start <= limit) {
        return text.size() - start;
    }
    const auto continues = [&](std::size_t n) {
        return (static_cast<unsigned char>(text[start + n]) & 0xC0U) == 0x80U;
    };
    std::size_t n = limit;
    while (n > 1 && continues(n)) {
        --n;
    }
    return n;
}

std::optional<ControlState> joined(const SnapshotId &id, const std::map<std::uint32_t, std::string> &parts)
{
    if (parts.size() != id.parts) {
        return std::nullopt;
    }
    std::string text;
    for (const auto &[part, data] : parts) {
        text += data;
    }
    if (hashBytes(text) != id.digest) {
        return std::nullopt;
    }
    auto state = ControlState::decode(text);
    if (!state.ok() || state->appliedOffset() != id.through) {
        return std::nullopt;
    }
    return *std::move(state);
}

} // namespace

std::vector<SnapshotPart> makeSnapshot(const ControlState &state)
{
    const auto text = state.encode();
    const auto digest = hashBytes(text);
    std::vector<SnapshotPart> parts;
    for (std::size_t start = 0; start < text.size();) {
        const auto n = cutLength(text, start, kMaxSnapshotPartBytes);
        parts.push_back(
            {state.appliedOffset(), static_cast<std::uint32_t>(parts.size()), 0, digest, text.substr(start, n)});
        start += n;
    }
    for (auto &it : parts) {
        it.parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

void SnapshotCollector::add(std::string_view append)
{
    const auto batch = decodeBatch(append);
    if (!batch.ok()) {
        return;
    }
    for (const auto &record : batch->records) {
        const auto *part = record.ok() ? std::get_if<SnapshotPart>(&*record) : nullptr;
        if (part && part->part < part->parts && part->parts <= SnapshotTable::kMaxParts) {
            m_snapshots[{part->through, part->digest, part->parts}].try_emplace(part->part, part->data);
        }
    }
}

std::optional<ControlState> SnapshotCollector::newest(Offset least) const
{
    for (auto it = m_snapshots.rbegin(); it != m_snapshots.rend() && it->first.through >= least; ++it) {
        if (auto state = joined(it->first, it->second)) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace mimosahub
