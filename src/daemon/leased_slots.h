#pragma once

#include "mimosahub/clock.h"
#include "peer/slot_counter.h"
#include "route/endpoint_table.h"

#include <memory>

namespace mimosahub
{

/// Lets the calls of traffic threads count against a lease of slots, so that the
/// endpoint's owner learns of each call that runs, and none starts on a lease that
/// has ended or shrunk since the table was made.
class LeasedSlots : public SlotGate
{
public:
    /// \a clock must outlive this.
    LeasedSlots(std::shared_ptr<SlotCounter> slotCounter, const Clock &clock)
        : m_slotCounter(std::move(slotCounter)), m_clock(clock)
    {
    }

    [[nodiscard]] bool open() const override
    {
        return m_slotCounter->inUse() < m_slotCounter->slots(m_clock.now());
    }
    [[nodiscard]] bool tryEnter() override
    {
        return m_slotCounter->tryAcquire(m_clock).has_value();
    }
    void enter() override
    {
        m_slotCounter->acquire();
    }
    void leave() override
    {
        m_slotCounter->release();
    }

private:
    std::shared_ptr<SlotCounter> m_slotCounter;
    const Clock &m_clock;
};

} // namespace mimosahub
