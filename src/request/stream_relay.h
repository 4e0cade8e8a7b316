#pragma once

#include <cstdint>

namespace mimosahub
{

/// What to do with tokens that came from an endpoint.
enum class RelayAction {
    Relay, ///< Pass on the tokens that the step names.
    Drop, ///< All of them were passed on before.
    Complete, ///< Pass on the tokens that the step names, if any; the stream is whole.
    Broken, ///< Tokens are missing, or the end contradicts what was passed on.
};

struct RelayStep {
    RelayAction action = RelayAction::Drop;
    std::uint64_t offset = 0; ///< First token to pass on.
    std::uint64_t count = 0; ///< Number of tokens to pass on.
};

/// Keeps a relayed stream gapless and free of repeats while it is resumed on
/// other endpoints: tokens count from 0, each is passed on once and in order.
class StreamRelay
{
public:
    /// Takes tokens [offset, offset + count), followed by the end mark if \a end.
    [[nodiscard]] RelayStep take(std::uint64_t offset, std::uint64_t count, bool end);

    /// The first token not yet passed on: where a resumed stream starts.
    [[nodiscard]] std::uint64_t next() const
    {
        return m_next;
    }
    [[nodiscard]] bool complete() const
    {
        return m_complete;
    }

private:
    std::uint64_t m_next = 0;
    bool m_complete = false;
};

} // namespace mimosahub
