// What has been read of an answer is counted and never refused: it is in the process already, and passing it
// on is what frees it. Room is asked for before more is read.

#include "gateway/answer_memory.h"

namespace mimosahub
{

bool AnswerMemory::reserveStream()
{
    m_stream.emplace(m_account, http::MemoryUse::Stream, [this] { stop(); });
    return m_stream->grow(http::kStreamOverheadBytes);
}

bool AnswerMemory::tryTakeRoom(std::uint64_t unfinished)
{
    m_stream->holdReceived(http::kStreamOverheadBytes + unfinished);
    return http::RoomWait::tryTakeForRead(*m_stream, unfinished);
}

http::Awaitable<bool> AnswerMemory::waitForRoom(std::uint64_t unfinished, Duration longest)
{
    const bool taken = co_await m_room.takeForRead(*m_stream, unfinished, longest);
    if (!taken) {
        m_stream->shrinkTo(0); // At once, for those that wait still.
    }
    co_return taken;
}

void AnswerMemory::holdEvents(std::uint64_t bytes)
{
    m_stream->holdReceived(http::kStreamOverheadBytes + bytes);
}

http::Awaitable<absl::StatusOr<std::string>> AnswerMemory::readWhole(http::ClientConnection &connection,
                                                                     Duration timeout, std::uint64_t maxBytes)
{
    const Reading reading(*this, [&connection] { connection.close(); });
    m_whole.emplace(m_account, http::MemoryUse::Answer, [this] { stop(); });
    auto body = co_await connection.readRest(timeout, maxBytes, &*m_whole);
    if (body.ok()) {
        m_whole->setReceived();
    } else {
        m_whole.reset();
    }
    co_return body;
}

void AnswerMemory::setWriting(bool writing)
{
    m_writing = writing;
    for (auto *hold : {&m_whole, &m_stream}) {
        if (*hold) {
            (*hold)->setBlocked(writing);
        }
    }
}

void AnswerMemory::stop()
{
    if (m_writing) {
        m_cutCaller();
    } else if (m_closeSource) {
        m_closeSource();
    }
}

} // namespace mimosahub
