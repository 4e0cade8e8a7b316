#pragma once

#include "http/client.h"
#include "http/memory_account.h"
#include "http/room_wait.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <optional>

namespace mimosahub
{

/// What the answer to one request holds, read whole or passed on as a stream. If the account ends it in
/// favour of others, the endpoint's connection is closed, or the caller's while that takes nothing.
class AnswerMemory
{
public:
    /// \a account must outlive this object. \a cutCaller gives up what is being written to the caller.
    AnswerMemory(const boost::asio::any_io_executor &executor, http::MemoryAccount &account,
                 std::function<void()> cutCaller)
        : m_account(account), m_cutCaller(std::move(cutCaller)), m_room(executor)
    {
    }
    AnswerMemory(const AnswerMemory &) = delete;
    AnswerMemory &operator=(const AnswerMemory &) = delete;

    /// Takes what a stream holds beside its events; false if there is no room.
    [[nodiscard]] bool reserveStream();
    /// Takes room for the next read of a stream, of whose last event \a unfinished bytes have come: the beginning
    /// of an event needs none. False if there is none, or the stream was ended.
    [[nodiscard]] bool tryTakeRoom(std::uint64_t unfinished);
    /// As tryTakeRoom(), but waits for room; false if none came within \a longest or the account's own limit.
    /// What the stream held is then given back.
    http::Awaitable<bool> waitForRoom(std::uint64_t unfinished, Duration longest);
    /// Counts \a bytes of events that were read and are not passed on yet.
    void holdEvents(std::uint64_t bytes);
    /// The stream was ended in favour of others.
    [[nodiscard]] bool streamEnded() const
    {
        return m_stream && m_stream->ended();
    }
    /// By which waits are timed.
    [[nodiscard]] const Clock &clock() const
    {
        return m_account.clock();
    }
    /// Ends each wait for room: the request is given up.
    void interruptWait()
    {
        m_room.interrupt();
    }
    /// Reads the rest of a whole answer of at most \a maxBytes from \a connection, and holds it until the
    /// next one is read. Errors as ClientConnection::readRest().
    http::Awaitable<absl::StatusOr<std::string>> readWhole(http::ClientConnection &connection, Duration timeout,
                                                           std::uint64_t maxBytes);

    /// The source from which a stream is read, for as long as this lives.
    class Reading
    {
    public:
        /// \a closeSource ends its reads.
        Reading(AnswerMemory &memory, std::function<void()> closeSource) : m_memory(memory)
        {
            m_memory.m_closeSource = std::move(closeSource);
        }
        ~Reading()
        {
            m_memory.m_closeSource = nullptr;
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
    std::function<void()> m_cutCaller;
    http::RoomWait m_room;
    std::optional<http::MemoryHold> m_whole;
    std::optional<http::MemoryHold> m_stream;
    std::function<void()> m_closeSource; ///< Null while nothing is read.
    bool m_writing = false;
};

} // namespace mimosahub
