// Within the budget only sums are looked at. Beyond it the holds are searched, which is rare, and
// each search ends something, refuses something or makes it wait.

#include "http/memory_account.h"

#include <algorithm>
#include <utility>

namespace mimosahub::http
{

std::string_view memoryRefusalName(MemoryRefusal refusal)
{
    switch (refusal) {
    case MemoryRefusal::NoRoom:
        return "no-room";
    case MemoryRefusal::WaitedTooLong:
        return "waited-too-long";
    case MemoryRefusal::TooManyWaiting:
        return "too-many-waiting";
    case MemoryRefusal::Stalled:
        return "stalled";
    case MemoryRefusal::Largest:
        return "largest";
    case MemoryRefusal::TooSlow:
        return "too-slow";
    }
    return "";
}

MemoryHold::MemoryHold(MemoryAccount &account, MemoryUse use, std::function<void()> onEnd)
    : m_account(account), m_use(use), m_onEnd(std::move(onEnd)), m_progressAt(account.m_clock.now())
{
    m_account.m_holds.push_back(*this);
}

MemoryHold::~MemoryHold()
{
    unlink();
    m_account.giveBack(*this, m_bytes);
}

bool MemoryHold::grow(std::uint64_t more)
{
    return m_account.grow(*this, more);
}

void MemoryHold::shrinkTo(std::uint64_t bytes)
{
    if (bytes < m_bytes) {
        m_account.giveBack(*this, m_bytes - bytes);
    }
}

bool MemoryHold::resize(std::uint64_t bytes)
{
    if (bytes > m_bytes) {
        return grow(bytes - m_bytes);
    }
    shrinkTo(bytes);
    recordProgress();
    return !m_ended;
}

bool MemoryHold::tryResize(std::uint64_t bytes)
{
    if (bytes > m_bytes) {
        const auto more = bytes - m_bytes;
        if (!m_account.makeRoom(*this, more)) {
            return false;
        }
        m_account.take(*this, more);
        return true;
    }
    shrinkTo(bytes);
    recordProgress();
    return !m_ended;
}

void MemoryHold::holdReceived(std::uint64_t bytes)
{
    if (m_ended) {
        return;
    }
    if (bytes > m_bytes) {
        m_account.take(*this, bytes - m_bytes);
        return;
    }
    shrinkTo(bytes);
    recordProgress();
}

void MemoryHold::setBlocked(bool blocked)
{
    m_blocked = blocked;
    recordProgress();
}

void MemoryHold::recordProgress()
{
    m_progressAt = m_account.m_clock.now();
}

MemoryWait::MemoryWait(MemoryAccount &account, MemoryHold &hold, std::uint64_t bytes, std::function<void()> onRoom)
    : m_account(account), m_hold(hold), m_bytes(bytes), m_onRoom(std::move(onRoom))
{
    auto &queue = m_account.m_waiting;
    const auto isBody = [](const MemoryWait *wait) { return !wait->m_hold.isAnswer(); };
    queue.insert(hold.isAnswer() ? std::find_if(queue.begin(), queue.end(), isBody) : queue.end(), this);
    m_hold.m_waiting = true;
}

MemoryWait::~MemoryWait()
{
    m_account.m_waiting.remove(this);
    m_hold.m_waiting = false;
    m_hold.recordProgress();
}

MemoryAccount::Admission MemoryAccount::admit(MemoryHold &hold, std::uint64_t bytes)
{
    if (!isLarge(bytes)) {
        return grow(hold, bytes) ? Admission::Admitted : Admission::Refused;
    }
    hold.m_announced = true;
    if (m_waiting.empty() && fits(hold, bytes) && clientFits(hold, bytes)) {
        take(hold, bytes);
        return Admission::Admitted;
    }
    if (m_waiting.size() >= m_options.maxWaiting || bytes > m_options.budget) {
        recordRefusal(bytes > m_options.budget ? MemoryRefusal::NoRoom : MemoryRefusal::TooManyWaiting, bytes);
        return Admission::Refused;
    }
    return Admission::Wait;
}

bool MemoryAccount::grow(MemoryHold &hold, std::uint64_t more)
{
    if (makeRoom(hold, more)) {
        take(hold, more);
        return true;
    }
    if (!hold.m_ended) {
        recordRefusal(MemoryRefusal::NoRoom, hold.m_bytes + more);
    }
    return false;
}

/// Ends what may end until \a hold can have \a more; false if it can't, or was ended itself.
bool MemoryAccount::makeRoom(MemoryHold &hold, std::uint64_t more)
{
    hold.recordProgress();
    while (!hold.m_ended && !fits(hold, more)) {
        auto *victim = victimFor(hold, hold.m_bytes + more);
        if (victim == nullptr) {
            return false;
        }
        end(*victim, hasStalled(*victim) ? MemoryRefusal::Stalled : MemoryRefusal::Largest);
    }
    return !hold.m_ended;
}

void MemoryAccount::take(MemoryHold &hold, std::uint64_t bytes)
{
    hold.recordProgress();
    hold.m_bytes += bytes;
    m_held += bytes;
    if (m_observer != nullptr) {
        m_observer->heldChanged(m_held);
    }
}

void MemoryAccount::giveBack(MemoryHold &hold, std::uint64_t bytes)
{
    if (bytes == 0) {
        return;
    }
    hold.m_bytes -= bytes;
    m_held -= bytes;
    if (m_observer != nullptr) {
        m_observer->heldChanged(m_held);
    }
    admitWaiting();
}

/// What is alone may use all of the budget, so that a legal request is served without other traffic.
std::uint64_t MemoryAccount::limitFor(const MemoryHold &hold, std::uint64_t bytes) const
{
    const bool alone = m_held == hold.m_bytes;
    if (alone || !isLarge(bytes) || hold.m_use == MemoryUse::Answer) {
        return m_options.budget;
    }
    return static_cast<std::uint64_t>(static_cast<double>(m_options.budget) * m_options.largeShare);
}

bool MemoryAccount::fits(const MemoryHold &hold, std::uint64_t more) const
{
    const auto limit = limitFor(hold, hold.m_bytes + more);
    return more <= limit && m_held <= limit - more;
}

bool MemoryAccount::clientFits(const MemoryHold &hold, std::uint64_t more) const
{
    const auto limit = static_cast<std::uint64_t>(static_cast<double>(m_options.budget) * m_options.clientShare);
    if (m_held <= limit && more <= limit - m_held) {
        return true; // Whoever holds it.
    }
    std::uint64_t held = 0;
    for (const auto &other : m_holds) {
        const bool counts = &other != &hold && other.m_use == MemoryUse::Body && other.m_client == hold.m_client;
        held += counts && isLarge(other.m_bytes) ? other.m_bytes : 0;
    }
    return held == 0 || held + more <= limit;
}

bool MemoryAccount::hasStalled(const MemoryHold &hold) const
{
    const bool mayStall = hold.m_use == MemoryUse::Body || hold.m_blocked;
    return mayStall && !hold.m_waiting && m_clock.now() - hold.m_progressAt >= m_options.stall;
}

/// Whether \a hold, which has not stalled, may end for one that needs \a bytes: it is unfinished and
/// larger, and its room was not promised before. A sound stream is never large.
bool MemoryAccount::mayEndFor(const MemoryHold &hold, std::uint64_t bytes) const
{
    const bool unfinished = hold.m_use == MemoryUse::Body || hold.m_use == MemoryUse::Answer
        || (hold.m_use == MemoryUse::Stream && isLarge(hold.m_bytes));
    return unfinished && !hold.m_announced && hold.m_bytes > bytes;
}

/// What is to end so that \a hold can have \a bytes: the largest that has stalled, or else the
/// largest that may end for it; of equals, the one that came last.
MemoryHold *MemoryAccount::victimFor(const MemoryHold &hold, std::uint64_t bytes)
{
    MemoryHold *victim = nullptr;
    bool victimStalled = false;
    for (auto &other : m_holds) {
        const bool stalled = hasStalled(other);
        if (&other == &hold || other.m_ended || other.m_bytes == 0 || !(stalled || mayEndFor(other, bytes))) {
            continue;
        }
        const bool first = victim == nullptr || (stalled && !victimStalled);
        if (first || (stalled == victimStalled && other.m_bytes >= victim->m_bytes)) {
            victim = &other;
            victimStalled = stalled;
        }
    }
    return victim;
}

void MemoryAccount::end(MemoryHold &hold, MemoryRefusal reason)
{
    hold.m_ended = true;
    hold.m_reason = reason;
    recordRefusal(reason, hold.m_bytes);
    if (hold.m_onEnd) {
        hold.m_onEnd();
    }
    giveBack(hold, hold.m_bytes);
}

void MemoryAccount::endForWaiting()
{
    endForAnswers();
    if (m_waiting.empty()) {
        return;
    }
    std::list<MemoryHold *> stalled;
    for (auto &hold : m_holds) {
        if (hasStalled(hold) && !hold.m_ended && isLarge(hold.m_bytes)) {
            stalled.push_back(&hold);
        }
    }
    for (auto *hold : stalled) {
        if (m_waiting.empty()) {
            break;
        }
        end(*hold, MemoryRefusal::Stalled);
    }
}

/// Answers wait for less than a body does, so that small holds that have stalled help them too.
void MemoryAccount::endForAnswers()
{
    while (const auto *wait = firstWaitingAnswer()) {
        auto *victim = victimFor(wait->m_hold, wait->m_hold.m_bytes + wait->m_bytes);
        if (victim == nullptr) {
            return;
        }
        end(*victim, hasStalled(*victim) ? MemoryRefusal::Stalled : MemoryRefusal::Largest);
    }
}

const MemoryWait *MemoryAccount::firstWaitingAnswer() const
{
    const auto isLive = [](const MemoryWait *wait) { return wait->m_hold.isAnswer() && !wait->m_hold.m_ended; };
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), isLive);
    return it == m_waiting.end() ? nullptr : *it;
}

bool MemoryAccount::endLongestStalled()
{
    MemoryHold *longest = nullptr;
    for (auto &hold : m_holds) {
        const bool longer = longest == nullptr || hold.m_progressAt < longest->m_progressAt;
        if (longer && !hold.m_ended && hold.m_bytes > 0 && hasStalled(hold)) {
            longest = &hold;
        }
    }
    if (longest == nullptr) {
        return false;
    }
    end(*longest, MemoryRefusal::Stalled);
    return true;
}

void MemoryAccount::recordRefusal(MemoryRefusal refusal, std::uint64_t bytes)
{
    if (m_observer != nullptr) {
        m_observer->refused(refusal, bytes);
    }
}

/// A client that has used up its share does not hold up those behind it.
void MemoryAccount::admitWaiting()
{
    if (!admitAnswers()) {
        return;
    }
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        auto &wait = **it;
        if (wait.m_hold.m_ended) {
            ++it;
            continue;
        }
        if (!fits(wait.m_hold, wait.m_bytes)) {
            return;
        }
        if (!clientFits(wait.m_hold, wait.m_bytes)) {
            ++it;
            continue;
        }
        it = m_waiting.erase(it);
        admit(wait);
    }
}

/// Admits the answers that fit, whatever waits before them; true if none is left.
bool MemoryAccount::admitAnswers()
{
    auto it = m_waiting.begin();
    while (it != m_waiting.end() && (*it)->m_hold.isAnswer()) {
        auto &wait = **it;
        if (!wait.m_hold.m_ended && fits(wait.m_hold, wait.m_bytes)) {
            it = m_waiting.erase(it);
            admit(wait);
        } else {
            ++it;
        }
    }
    return firstWaitingAnswer() == nullptr;
}

void MemoryAccount::admit(MemoryWait &wait)
{
    wait.m_admitted = true;
    take(wait.m_hold, wait.m_bytes);
    wait.m_onRoom();
}

} // namespace mimosahub::http
