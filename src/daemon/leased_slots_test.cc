#include "daemon/leased_slots.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

/// A row that a table took from a lease of one slot.
class LeasedRow
{
public:
    explicit LeasedRow(bool leasedOnly)
    {
        m_slotCounter->setLease(1, m_clock.now() + 3s);
        m_row.state = leasedOnly ? EndpointState::Cold : EndpointState::Warm;
        m_row.limit = 2;
        m_row.allowed = 2;
        m_row.gate = std::make_shared<LeasedSlots>(m_slotCounter, m_clock);
        m_row.leasedOnly = leasedOnly;
    }
    [[nodiscard]] const EndpointRow &row() const
    {
        return m_row;
    }
    [[nodiscard]] SlotCounter &slotCounter()
    {
        return *m_slotCounter;
    }
    ManualClock &clock()
    {
        return m_clock;
    }

private:
    ManualClock m_clock;
    std::shared_ptr<SlotCounter> m_slotCounter = std::make_shared<SlotCounter>();
    EndpointRow m_row;
};

} // namespace

Test(leased_slots, a_running_call_is_told_to_the_owner_until_it_ends)
{
    LeasedRow it(true);
    {
        const auto slot = it.row().tryAcquireSlot();
        cr_assert(slot.has_value());
        it.slotCounter().setLease(0, it.clock().now() + 3s);
        cr_assert(it.slotCounter().inUse() == 1);
    }
    cr_assert(it.slotCounter().inUse() == 0);
}

Test(leased_slots, no_call_starts_on_a_lease_that_has_shrunk_or_ended_since)
{
    LeasedRow it(true);
    it.slotCounter().setLease(0, it.clock().now() + 3s);
    cr_assert(!it.row().mayStartCall() && !it.row().tryAcquireSlot());
    it.slotCounter().setLease(1, it.clock().now() + 3s);
    it.clock().advance(4s);
    cr_assert(!it.row().mayStartCall() && !it.row().tryAcquireSlot());
    cr_assert(it.row().inFlight->value() == 0, "a refused call must not stay counted");
}

Test(leased_slots, a_warm_endpoint_serves_beyond_the_lease_and_counts_it)
{
    LeasedRow it(false);
    const auto first = it.row().tryAcquireSlot();
    const auto second = it.row().tryAcquireSlot();
    cr_assert(first && second && !it.row().tryAcquireSlot());
    cr_assert(it.slotCounter().inUse() == 2);
}
