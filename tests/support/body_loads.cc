#include "tests/support/body_loads.h"

#include <absl/strings/str_cat.h>

namespace mimosahub::testing
{

namespace
{

constexpr std::size_t kBlock = std::size_t(64) << 10U;
constexpr std::size_t kFarOverLimit = std::size_t(256) << 20U;
constexpr std::size_t kSmallChunk = 16;
constexpr std::size_t kHeaderBytes = std::size_t(15) << 10U;
constexpr std::size_t kPipelinedBytes = std::size_t(256) << 10U;

std::string chunk(std::size_t size, const std::string &extension = "")
{
    return absl::StrCat(absl::Hex(size), extension, "\r\n", std::string(size, 'x'), "\r\n");
}

std::string blockOfBody()
{
    return std::string(kBlock, 'x');
}

} // namespace

std::string BodyLoads::headOfLength(std::size_t length) const
{
    return absl::StrCat(m_head, "Content-Length: ", length, "\r\n\r\n");
}

std::string BodyLoads::chunkedHead() const
{
    return m_head + "Transfer-Encoding: chunked\r\n\r\n";
}

std::size_t BodyLoads::blocks() const
{
    return m_maxBody / kBlock;
}

ClientBytes BodyLoads::announcedOverLimit() const
{
    return {headOfLength(kFarOverLimit), blockOfBody(), 4 * blocks()};
}

ClientBytes BodyLoads::unannouncedOverLimit() const
{
    return {chunkedHead(), chunk(kBlock), 4 * blocks()};
}

ClientBytes BodyLoads::whole() const
{
    return {headOfLength(m_maxBody), blockOfBody(), blocks()};
}

ClientBytes BodyLoads::shortOfEnd() const
{
    return {headOfLength(m_maxBody), blockOfBody(), blocks() - 1, std::string(kBlock - 1, 'x')};
}

ClientBytes BodyLoads::smallPieces() const
{
    const std::string piece(1000, 'x');
    return {headOfLength(m_maxBody), piece, (m_maxBody - 1) / piece.size()};
}

ClientBytes BodyLoads::largeChunks() const
{
    const auto size = m_maxBody / 4;
    auto last = chunk(size);
    last.resize(last.size() - 3);
    return {chunkedHead(), chunk(size), 3, last};
}

ClientBytes BodyLoads::smallChunks() const
{
    std::string many;
    for (std::size_t i = 0; i < kBlock / kSmallChunk; ++i) {
        many += chunk(kSmallChunk);
    }
    return {chunkedHead(), many, blocks(), "0\r\n"};
}

ClientBytes BodyLoads::extensionsAndTrailers() const
{
    std::string trailer = "0\r\n";
    for (int i = 0; i < 300; ++i) {
        trailer += absl::StrCat("X-Field-", i, ": a value of the trailer\r\n");
    }
    const auto extended = chunk(kBlock, ";name=" + std::string(4000, 'v'));
    return {chunkedHead(), extended, blocks() - 1, trailer};
}

ClientBytes BodyLoads::unfinishedHeader() const
{
    std::string fields;
    while (m_head.size() + fields.size() < kHeaderBytes) {
        fields += absl::StrCat("X-Field-", fields.size(), ": a value of the header that has no end\r\n");
    }
    return {m_head, fields, 1};
}

ClientBytes BodyLoads::pipelined() const
{
    const auto request = headOfLength(1) + "x";
    std::string further;
    while (further.size() < kPipelinedBytes) {
        further += request;
    }
    return {request, further, 1};
}

} // namespace mimosahub::testing
