#pragma once

#include "http/client.h"
#include "http/memory_account.h"
#include "http/server.h"

#include <optional>

namespace mimosahub
{

/// What the answer to one request holds, read whole or passed on as a stream. If the account ends it in
/// favour of others, the endpoint's connection is closed, or the caller's while that takes nothing.
class AnswerMemory
{
public:
    /// Both arguments must outlive this object.
    AnswerMemory(http::MemoryAccount &account, http::Exchange &exchange) : m_account(account), m_exchange(exchange)
    {
    }
    AnswerMemory(const AnswerMemory &) = delete;
    AnswerMemory &operator=(const AnswerMemory &) = delete;

    /// Takes what a stream holds beside its events; false if there is no room.
    [[nodiscard]] bool reserveStream();
    /// Takes \a bytes for events that are not passed on yet; false if there is no room, or the stream was ended.
    [[nodiscard]] bool holdEvents(std::uint64_t bytes);
    /// The stream was ended in favour of others.
    [[nodiscard]] bool streamEnded() const
    {
        return m_stream && m_stream->ended();
    }
    /// Reads the rest of a whole answer of at most \a maxBytes from \a connection, and holds it until the
    /// next one is read. ResourceExhausted if there is no room for it.
    http::Awaitable<absl::StatusOr<std::string>> readWhole(http::ClientConnection &connection, Duration timeout,
                                                           std::uint64_t maxBytes);

    /// The connection from which a stream is read, for as long as this lives.
    class Reading
    {
    public:
        Reading(AnswerMemory &memory, http::ClientConnection &connection) : m_memory(memory)
        {
            m_memory.m_source = &connection;
        }
        ~Reading()
        {
            m_memory.m_source = nullptr;
        }
        Reading(const Reading &) = delete;
        Reading &operator=(const Reading &) = delete;

    private:
        AnswerMemory &m_memory;
    };

    /// What is held waits for the caller to read, for as long as this lives.
    class Writing
    {
    public:
        explicit Writing(AnswerMemory &memory) : m_memory(memory)
        {
            m_memory.setWriting(true);
        }
        ~Writing()
        {
            m_memory.setWriting(false);
        }
        Writing(const Writing &) = delete;
        Writing &operator=(const Writing &) = delete;

    private:
        AnswerMemory &m_memory;
    };

private:
    void setWriting(bool writing);
    void stop();

    http::MemoryAccount &m_account;
    http::Exchange &m_exchange;
    std::optional<http::MemoryHold> m_whole;
    std::optional<http::MemoryHold> m_stream;
    http::ClientConnection *m_source = nullptr; ///< Null while nothing is read.
    bool m_writing = false;
};

} // namespace mimosahub
