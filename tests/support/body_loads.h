#pragma once

#include "tests/support/client_load.h"

#include <cstddef>
#include <string>

namespace mimosahub::testing
{

/// Bodies that clients which nobody controls send, for a route and a limit of bodies.
class BodyLoads
{
public:
    /// \a head: request line and fields of a request, without those that frame its body and without the
    /// empty line; \a maxBody: the largest legal body, in bytes.
    BodyLoads(std::string head, std::size_t maxBody) : m_head(std::move(head)), m_maxBody(maxBody)
    {
    }

    /// 256 MiB, by their Content-Length.
    [[nodiscard]] ClientBytes announcedOverLimit() const;
    /// Four times the limit, in chunks.
    [[nodiscard]] ClientBytes unannouncedOverLimit() const;
    /// Of the limit, whole.
    [[nodiscard]] ClientBytes whole() const;
    /// Of the limit, without their last byte.
    [[nodiscard]] ClientBytes shortOfEnd() const;
    /// The same in writes of 1,000 bytes.
    [[nodiscard]] ClientBytes smallPieces() const;
    /// Four chunks of which the last isn't whole.
    [[nodiscard]] ClientBytes largeChunks() const;
    /// Chunks of 16 bytes without the end of the trailer.
    [[nodiscard]] ClientBytes smallChunks() const;
    /// Chunks with long extensions, and a trailer without its end.
    [[nodiscard]] ClientBytes extensionsAndTrailers() const;
    /// A header of 15 KiB without its end.
    [[nodiscard]] ClientBytes unfinishedHeader() const;
    /// A small request, and without waiting for its response further ones, 256 KiB in all.
    [[nodiscard]] ClientBytes pipelined() const;

    /// The head of a request with a body of \a length bytes.
    [[nodiscard]] std::string headOfLength(std::size_t length) const;

private:
    [[nodiscard]] std::string chunkedHead() const;
    [[nodiscard]] std::size_t blocks() const;

    std::string m_head;
    std::size_t m_maxBody;
};

} // namespace mimosahub::testing
