// Cap'n Proto's RPC frames are mostly zero bytes: a call and its return take about
// 220 bytes without any content. The library's packed encoding removes the zeros,
// which keeps heartbeats within the byte budget of the control traffic.
//
// The length word of a message takes no memory: room is taken as the message comes.

#include "peer/packed_message_stream.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <vector>

namespace mimosahub
{

namespace
{

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadBytes = std::size_t(16) << 10U; ///< Most that are read, and made room for, at once.

kj::Duration toKj(Duration duration)
{
    return duration.count() * kj::NANOSECONDS;
}

kj::Array<kj::byte> pack(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    kj::VectorOutputStream out;
    const kj::byte placeholder[kLengthBytes] = {};
    out.write(placeholder, kLengthBytes);
    capnp::writePackedMessage(static_cast<kj::BufferedOutputStream &>(out), segments);
    auto bytes = kj::heapArray<kj::byte>(out.getArray());
    const auto size = bytes.size() - kLengthBytes;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
        bytes[i] = static_cast<kj::byte>(size >> (8 * i));
    }
    return bytes;
}

/// Bytes of all segments of \a reader.
std::size_t bytesOf(capnp::MessageReader &reader)
{
    std::size_t words = 0;
    for (unsigned i = 0; reader.getSegment(i) != nullptr; ++i) {
        words += reader.getSegment(i).size();
    }
    return words * sizeof(capnp::word);
}

} // namespace

/// A message of which the length has come.
struct PackedMessageStream::Incoming {
    Incoming(http::MemoryAccount &memory, std::size_t bytes)
        : size(bytes), hold(memory, http::MemoryUse::Body, [this] { reading.cancel("others need the memory"); })
    {
    }
    std::size_t size;
    std::vector<kj::byte> bytes;
    http::MemoryHold hold;
    kj::Canceler reading;
};

PackedMessageStream::PackedMessageStream(kj::AsyncIoStream &stream, kj::Timer &timer, TrafficCounters &counters,
                                         http::MemoryAccount &memory, PackedMessageStreamOptions options)
    : m_stream(stream), m_timer(timer), m_counters(counters), m_memory(memory), m_options(options)
{
}

PackedMessageStream::~PackedMessageStream() = default;

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
PackedMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> /*fdSpace*/, capnp::ReaderOptions options,
                                    kj::ArrayPtr<capnp::word> /*scratchSpace*/)
{
    auto length =
        m_timer.timeoutAfter(toKj(m_options.idleTimeout), m_stream.tryRead(m_length, kLengthBytes, kLengthBytes));
    return length.then([this, options](std::size_t n) -> kj::Promise<Result> {
        if (n < kLengthBytes) {
            return Result(nullptr);
        }
        std::size_t size = 0;
        for (std::size_t i = 0; i < kLengthBytes; ++i) {
            size |= static_cast<std::size_t>(m_length[i]) << (8 * i);
        }
        if (size > m_options.maxMessageBytes) {
            return KJ_EXCEPTION(FAILED, "message is too long");
        }
        m_incoming = kj::heap<Incoming>(m_memory, size);
        auto body = m_incoming->reading.wrap(readBody());
        return m_timer.timeoutAfter(toKj(m_options.messageTimeout), kj::mv(body)).then([this, options]() {
            return unpack(options);
        });
    });
}

/// Reads the rest of the message, piece by piece.
kj::Promise<void> PackedMessageStream::readBody()
{
    auto &bytes = m_incoming->bytes;
    const auto before = bytes.size();
    const auto wanted = std::min(kReadBytes, m_incoming->size - before);
    if (wanted == 0) {
        return kj::READY_NOW;
    }
    if (!m_incoming->hold.grow(wanted)) {
        return KJ_EXCEPTION(OVERLOADED, "there is no memory for the message");
    }
    bytes.resize(before + wanted);
    auto *begin = bytes.data() + before;
    return m_stream.tryRead(begin, 1, wanted).then([this, before](std::size_t n) -> kj::Promise<void> {
        if (n == 0) {
            return KJ_EXCEPTION(DISCONNECTED, "the peer closed the connection within a message");
        }
        m_incoming->bytes.resize(before + n);
        m_incoming->hold.shrinkTo(before + n);
        return readBody();
    });
}

/// Makes the message, whose packed and unpacked bytes are held until its reader is destroyed.
PackedMessageStream::Result PackedMessageStream::unpack(capnp::ReaderOptions options)
{
    auto incoming = kj::mv(m_incoming);
    m_received = true;
    m_counters.bytesReceived += kLengthBytes + incoming->size;
    ++m_counters.messagesReceived;
    auto input = kj::heap<kj::ArrayInputStream>(kj::arrayPtr(incoming->bytes.data(), incoming->size));
    auto reader = kj::heap<capnp::PackedMessageReader>(*input, options);
    incoming->hold.setReceived();
    if (!incoming->hold.grow(bytesOf(*reader))) {
        kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "there is no memory for the message's content"));
    }
    kj::Own<capnp::MessageReader> own = reader.attach(kj::mv(input), kj::mv(incoming));
    return capnp::MessageReaderAndFds{kj::mv(own), nullptr};
}

kj::Promise<void> PackedMessageStream::writeMessage(kj::ArrayPtr<const int> /*fds*/,
                                                    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    auto bytes = pack(segments);
    m_counters.bytesSent += bytes.size();
    ++m_counters.messagesSent;
    auto *begin = bytes.begin();
    const auto size = bytes.size();
    return m_stream.write(begin, size).attach(kj::mv(bytes));
}

kj::Promise<void>
PackedMessageStream::writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    if (messages.size() == 0) {
        return kj::READY_NOW;
    }
    return writeMessage(nullptr, messages[0]).then([this, rest = messages.slice(1, messages.size())]() mutable {
        return writeMessages(rest);
    });
}

kj::Maybe<int> PackedMessageStream::getSendBufferSize()
{
    return nullptr;
}

kj::Promise<void> PackedMessageStream::end()
{
    m_stream.shutdownWrite();
    return kj::READY_NOW;
}

} // namespace mimosahub
