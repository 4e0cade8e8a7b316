#pragma once

#include "mimosahub/clock.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>

namespace mimosahub::http
{

class MemoryAccount;

/// What the bytes of a hold are.
enum class MemoryUse {
    Body, ///< Of a request that is still being received.
    Request, ///< Of a request that was received whole and waits for its answer.
    Answer, ///< Of an answer that is still being received.
    Stream, ///< Of a stream that is passed on event by event.
};

/// Why the account refused or ended something.
enum class MemoryRefusal {
    NoRoom, ///< It didn't fit, and nothing larger could be ended for it.
    WaitedTooLong, ///< A large body, for room.
    TooManyWaiting, ///< Large bodies wait for room already.
    Stalled, ///< It had made no progress, or its reader took nothing, and others needed the room.
    Largest, ///< It was the largest unfinished one, and others needed the room.
    TooSlow, ///< A body fell below the minimum rate.
};
constexpr std::size_t kMemoryRefusals = 6;

/// Hyphenated name, for metrics and the log.
[[nodiscard]] std::string_view memoryRefusalName(MemoryRefusal refusal);

/// Budget of an account and how it is shared.
struct MemoryOptions {
    std::uint64_t budget = UINT64_MAX; ///< Bytes.
    std::uint64_t smallBytes = std::uint64_t(128) << 10U; ///< Anything above counts as large.
    double largeShare = 0.875; ///< Of the budget, for all that is large; the rest is kept for small requests.
    double clientShare = 0.5; ///< Of the budget, for large bodies that one client address is still sending.
    std::size_t maxWaiting = 64; ///< Large bodies that wait for room; each has bytes in the kernel's buffers.
    Duration stall = std::chrono::seconds(1); ///< What makes no progress for so long is ended if others need room.
    /// Longest time for which an answer that has begun isn't read on for lack of room. Callers give a stream
    /// up after a pause of two seconds.
    Duration roomWait = std::chrono::milliseconds(1500);
};

/// What a request holds beside its body: its header, the state of its connection, and what the kernel
/// holds for it, in bytes.
constexpr std::uint64_t kRequestOverheadBytes = std::uint64_t(32) << 10U;
/// What a stream holds beside its events: buffers of its endpoint's connection and of its caller's, in bytes.
constexpr std::uint64_t kStreamOverheadBytes = std::uint64_t(48) << 10U;

/// The bytes that one request or answer holds. Gives them back when it is destroyed, also
/// while an exception is passed on.
class MemoryHold : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// \a account must outlive the hold. \a onEnd is called once if the account ends the
    /// hold in favour of others; it must stop what receives the bytes and not destroy the hold.
    MemoryHold(MemoryAccount &account, MemoryUse use, std::function<void()> onEnd);
    ~MemoryHold();
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    /// Takes \a more bytes for data that is about to be kept, and records progress. False if there is
    /// no room for it, or the hold was ended.
    [[nodiscard]] bool grow(std::uint64_t more);
    /// Gives back all but \a bytes.
    void shrinkTo(std::uint64_t bytes);
    /// Grows or shrinks to \a bytes; false as for grow().
    [[nodiscard]] bool resize(std::uint64_t bytes);
    /// As resize(), but that there is no room counts as no refusal: the caller can wait.
    [[nodiscard]] bool tryResize(std::uint64_t bytes);
    /// Sets what is held to \a bytes for data that has been read, whatever the budget: it is in the process
    /// already, and passing it on is what frees it. Nothing is held any more if the hold was ended.
    void holdReceived(std::uint64_t bytes);
    /// Records that bytes came for which room was taken before, or that the reader took some.
    void recordProgress();
    /// Whether its bytes wait for a reader: it has stalled if that takes nothing.
    void setBlocked(bool blocked);
    /// The request was received whole: from now on it is not ended in favour of others.
    void setReceived()
    {
        m_use = MemoryUse::Request;
    }
    /// Replaces what is called if the account ends the hold.
    void setOnEnd(std::function<void()> onEnd)
    {
        m_onEnd = std::move(onEnd);
    }
    /// Names the one who sends: a hash of its address.
    void setClient(std::uint64_t client)
    {
        m_client = client;
    }
    [[nodiscard]] MemoryAccount &account() const
    {
        return m_account;
    }
    [[nodiscard]] std::uint64_t bytes() const
    {
        return m_bytes;
    }
    /// The account has ended it, by this reason.
    [[nodiscard]] bool ended() const
    {
        return m_ended;
    }
    [[nodiscard]] MemoryRefusal reason() const
    {
        return m_reason;
    }

private:
    friend class MemoryAccount;
    friend class MemoryWait;

    /// Whether it is of an answer: of work that was accepted.
    [[nodiscard]] bool isAnswer() const
    {
        return m_use == MemoryUse::Answer || m_use == MemoryUse::Stream;
    }

    MemoryAccount &m_account;
    MemoryUse m_use;
    std::function<void()> m_onEnd;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_client = 0;
    TimePoint m_progressAt;
    bool m_announced = false; ///< All of its bytes were taken before they came.
    bool m_blocked = false;
    bool m_waiting = false; ///< For room, so that nothing of it is read.
    bool m_ended = false;
    MemoryRefusal m_reason = MemoryRefusal::NoRoom;
};

/// A body or an answer that waits for room, in the frame of the coroutine that reads it. Answers go
/// before bodies: they are of work that was accepted. Leaves the queue when it is destroyed.
class MemoryWait
{
public:
    /// Arguments must outlive the wait. \a onRoom is called once when the bytes were taken.
    MemoryWait(MemoryAccount &account, MemoryHold &hold, std::uint64_t bytes, std::function<void()> onRoom);
    ~MemoryWait();
    MemoryWait(const MemoryWait &) = delete;
    MemoryWait &operator=(const MemoryWait &) = delete;

    /// Whether the bytes were taken.
    [[nodiscard]] bool admitted() const
    {
        return m_admitted;
    }

private:
    friend class MemoryAccount;

    MemoryAccount &m_account;
    MemoryHold &m_hold;
    std::uint64_t m_bytes;
    std::function<void()> m_onRoom;
    bool m_admitted = false;
};

/// What is told of an account as it changes.
class MemoryObserver
{
public:
    virtual ~MemoryObserver() = default;
    virtual void heldChanged(std::uint64_t bytes) = 0;
    /// \a bytes: that were held or asked for.
    virtual void refused(MemoryRefusal refusal, std::uint64_t bytes) = 0;
};

/// Bounds the sum of bytes that requests and answers hold in this process, and decides what is
/// refused or ended when the budget is used up: what has stalled, then the largest that is
/// unfinished. Requests that were received whole are never ended. What was read of an answer counts
/// even beyond the budget: a few reads of each. Decides only; all I/O is with its holds' owners. One thread.
/// Taking and giving back within the budget costs the same however many holds there are.
class MemoryAccount
{
public:
    enum class Admission {
        Admitted, ///< The bytes were taken.
        Wait, ///< There may be room later, for a MemoryWait.
        Refused,
    };

    /// \a clock must outlive the account.
    MemoryAccount(const Clock &clock, const MemoryOptions &options) : m_clock(clock), m_options(options)
    {
    }

    /// Takes the \a bytes of a body whose length is known before any of it is read.
    [[nodiscard]] Admission admit(MemoryHold &hold, std::uint64_t bytes);
    /// Makes room for what waits: ends what has stalled or, for an answer, what grow() would end.
    void endForWaiting();
    /// Ends what has stalled for the longest time; false if nothing has.
    bool endLongestStalled();
    /// Counts a refusal that a hold's owner has decided.
    void recordRefusal(MemoryRefusal refusal, std::uint64_t bytes);

    /// \a observer must outlive the account's last use; null: none.
    void setObserver(MemoryObserver *observer)
    {
        m_observer = observer;
    }
    [[nodiscard]] std::uint64_t held() const
    {
        return m_held;
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_waiting.size();
    }
    [[nodiscard]] const MemoryOptions &options() const
    {
        return m_options;
    }
    [[nodiscard]] const Clock &clock() const
    {
        return m_clock;
    }

private:
    friend class MemoryHold;
    friend class MemoryWait;
    using Holds = boost::intrusive::list<MemoryHold, boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] bool grow(MemoryHold &hold, std::uint64_t more);
    [[nodiscard]] bool makeRoom(MemoryHold &hold, std::uint64_t more);
    void take(MemoryHold &hold, std::uint64_t bytes);
    void giveBack(MemoryHold &hold, std::uint64_t bytes);
    [[nodiscard]] bool isLarge(std::uint64_t bytes) const
    {
        return bytes > m_options.smallBytes;
    }
    [[nodiscard]] std::uint64_t limitFor(const MemoryHold &hold, std::uint64_t bytes) const;
    [[nodiscard]] bool fits(const MemoryHold &hold, std::uint64_t more) const;
    [[nodiscard]] bool clientFits(const MemoryHold &hold, std::uint64_t more) const;
    [[nodiscard]] bool hasStalled(const MemoryHold &hold) const;
    [[nodiscard]] bool mayEndFor(const MemoryHold &hold, std::uint64_t bytes) const;
    [[nodiscard]] MemoryHold *victimFor(const MemoryHold &hold, std::uint64_t bytes);
    void end(MemoryHold &hold, MemoryRefusal reason);
    void endForAnswers();
    [[nodiscard]] const MemoryWait *firstWaitingAnswer() const;
    void admitWaiting();
    [[nodiscard]] bool admitAnswers();
    void admit(MemoryWait &wait);

    const Clock &m_clock;
    MemoryOptions m_options;
    MemoryObserver *m_observer = nullptr;
    std::uint64_t m_held = 0;
    Holds m_holds;
    std::list<MemoryWait *> m_waiting; ///< Answers, then bodies, each in the order of their arrival.
};

} // namespace mimosahub::http
