// Counts calls against a lease without a lock. tryAcquire() first adds its call, then
// reads the clock and the lease; the control thread first changes the lease, then
// reads the count. All accesses are sequentially consistent, so at least one of the
// two sees the other's write: a call that the control thread didn't count has seen
// the new lease.

#include "peer/slot_counter.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr unsigned kSlotBits = 16;
constexpr std::uint64_t kMaxSlots = (1U << kSlotBits) - 1;

std::uint64_t pack(std::uint32_t slots, TimePoint until)
{
    // Rounded down: a lease may end early, but never late.
    const auto ms = std::chrono::floor<std::chrono::milliseconds>(until.time_since_epoch()).count();
    return (static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)) << kSlotBits)
        | std::min<std::uint64_t>(slots, kMaxSlots);
}

std::uint32_t slotsOf(std::uint64_t lease)
{
    return static_cast<std::uint32_t>(lease & kMaxSlots);
}

TimePoint untilOf(std::uint64_t lease)
{
    return TimePoint(std::chrono::milliseconds(lease >> kSlotBits));
}

} // namespace

std::optional<TimePoint> SlotCounter::tryAcquire(const Clock &clock)
{
    const auto before = m_inUse.fetch_add(1);
    const auto now = clock.now();
    const auto lease = m_lease.load();
    if (now < untilOf(lease) && before < slotsOf(lease)) {
        return untilOf(lease);
    }
    m_inUse.fetch_sub(1);
    return std::nullopt;
}

void SlotCounter::acquire()
{
    m_inUse.fetch_add(1);
}

void SlotCounter::release()
{
    m_inUse.fetch_sub(1);
}

void SlotCounter::setLease(std::uint32_t slots, TimePoint until)
{
    m_lease.store(pack(slots, until));
}

std::uint32_t SlotCounter::slots(TimePoint now) const
{
    const auto lease = m_lease.load();
    return now < untilOf(lease) ? slotsOf(lease) : 0;
}

TimePoint SlotCounter::until() const
{
    return untilOf(m_lease.load());
}

std::uint32_t SlotCounter::inUse() const
{
    return m_inUse.load();
}

} // namespace mimosahub
