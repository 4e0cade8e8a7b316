#pragma once

#include "http/memory_account.h"
#include "mimosahub/clock.h"

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <atomic>
#include <cstdint>

namespace mimosahub
{

/// Bytes and messages of all connections. Written by KJ's thread, read by any thread.
struct TrafficCounters {
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> messagesSent{0};
    std::atomic<std::uint64_t> messagesReceived{0};
};

struct PackedMessageStreamOptions {
    std::size_t maxMessageBytes = 1U << 20U; ///< Packed size; a larger message closes the connection.
    Duration idleTimeout = std::chrono::seconds(60); ///< A connection is closed after this time without a message.
    Duration messageTimeout = std::chrono::seconds(5); ///< For the rest of a message after its length.
};

/// Stream of Cap'n Proto messages in the library's packed encoding, each preceded by
/// its length in bytes as a 4-byte little-endian integer. Adds the bytes and messages of
/// this connection to the counters of all connections. Messages that are being received, and those that
/// are not handled yet, are held by \a memory; one for which it has no room closes the connection.
/// KJ's thread only.
class PackedMessageStream : public capnp::MessageStream
{
public:
    PackedMessageStream(kj::AsyncIoStream &stream, kj::Timer &timer, TrafficCounters &counters,
                        http::MemoryAccount &memory, PackedMessageStreamOptions options);
    ~PackedMessageStream();

    /// Whether a whole message has come.
    [[nodiscard]] bool hasReceived() const
    {
        return m_received;
    }

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
                                                                      capnp::ReaderOptions options,
                                                                      kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> fds,
                                   kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void>
    writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

private:
    using Result = kj::Maybe<capnp::MessageReaderAndFds>;
    struct Incoming;

    kj::Promise<void> readBody();
    Result unpack(capnp::ReaderOptions options);

    kj::AsyncIoStream &m_stream;
    kj::Timer &m_timer;
    TrafficCounters &m_counters;
    http::MemoryAccount &m_memory;
    PackedMessageStreamOptions m_options;
    std::uint8_t m_length[4] = {};
    kj::Own<Incoming> m_incoming; ///< The message that is being received; null between messages.
    bool m_received = false;
};

} // namespace mimosahub
