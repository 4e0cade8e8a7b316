#include "gateway/answer_memory.h"

namespace mimosahub
{

bool AnswerMemory::reserveStream()
{
    m_stream.emplace(m_account, http::MemoryUse::Stream, [this] { stop(); });
    return m_stream->grow(http::kStreamOverheadBytes);
}

bool AnswerMemory::holdEvents(std::uint64_t bytes)
{
    return !m_stream || m_stream->resize(http::kStreamOverheadBytes + bytes);
}

http::Awaitable<absl::StatusOr<std::string>> AnswerMemory::readWhole(http::ClientConnection &connection,
                                                                     Duration timeout, std::uint64_t maxBytes)
{
    const Reading reading(*this, connection);
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
        m_exchange.cut();
    } else if (m_source != nullptr) {
        m_source->close();
    }
}

} // namespace mimosahub
