// Cap'n Proto's RPC frames are mostly zero bytes: a call and its return take about
// 220 bytes without any content. The library's packed encoding removes the zeros,
// which keeps heartbeats within the byte budget of the control traffic.

#include "peer/packed_message_stream.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace mimosahub
{

namespace
{

constexpr std::size_t kLengthBytes = 4;

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

} // namespace

PackedMessageStream::PackedMessageStream(kj::AsyncIoStream &stream, kj::Timer &timer, TrafficCounters &counters,
                                         PackedMessageStreamOptions options)
    : m_stream(stream), m_timer(timer), m_counters(counters), m_options(options)
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
PackedMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> /*fdSpace*/, capnp::ReaderOptions options,
                                    kj::ArrayPtr<capnp::word> /*scratchSpace*/)
{
    using Result = kj::Maybe<capnp::MessageReaderAndFds>;
    auto read = m_stream.tryRead(m_length, kLengthBytes, kLengthBytes)
                    .then([this, options](std::size_t n) -> kj::Promise<Result> {
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
                        return readBody(size, options);
                    });
    return m_timer.timeoutAfter(toKj(m_options.idleTimeout), kj::mv(read));
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> PackedMessageStream::readBody(std::size_t size,
                                                                                 capnp::ReaderOptions options)
{
    auto bytes = kj::heapArray<kj::byte>(size);
    auto *begin = bytes.begin();
    return m_stream.read(begin, size)
        .then([this, size, options, bytes = kj::mv(bytes)]() mutable -> kj::Maybe<capnp::MessageReaderAndFds> {
            m_counters.bytesReceived += kLengthBytes + size;
            ++m_counters.messagesReceived;
            auto input = kj::heap<kj::ArrayInputStream>(bytes);
            auto reader = kj::heap<capnp::PackedMessageReader>(*input, options);
            kj::Own<capnp::MessageReader> own = reader.attach(kj::mv(input), kj::mv(bytes));
            return capnp::MessageReaderAndFds{kj::mv(own), nullptr};
        });
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
