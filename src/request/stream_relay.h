#pragma once

#include <cstdint>

namespace mimosahub
{

/// What to do with tokens that were received from an endpoint.
enum class RelayAction {
    Relay, ///< Forward the tokens of the step.
    Drop, ///< All of them were forwarded before.
    Complete, ///< Forward the tokens of the step, if any; the stream is complete.
    Broken, ///< Tokens are missing, or the stream ends before a token that was already forwarded.
};

/// The result of StreamRelay::take().
struct RelayStep {
    RelayAction action = RelayAction::Drop;
    std::uint64_t offset = 0; ///< First token to forward.
    std::uint64_t count = 0; ///< Number of tokens to forward.
};

/// Keeps a relayed stream free of gaps and duplicates while it is resumed on other
/// endpoints: tokens are numbered from 0, and each is forwarded once and in order.
class StreamRelay
{
public:
    /// Handles tokens [offset, offset + count), followed by the end mark if \a end.
    [[nodiscard]] RelayStep take(std::uint64_t offset, std::uint64_t count, bool end);

    /// The first token not yet forwarded, at which a resumed stream starts.
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
