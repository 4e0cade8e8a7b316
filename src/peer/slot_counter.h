#pragma once

#include "mimosahub/clock.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace mimosahub
{

/// Counter of one daemon's slots of one resource: the control thread sets the lease,
/// and traffic threads count their calls against it.
class SlotCounter
{
public:
    /// Takes a slot if the lease allows one more call now. Returns the time by which the
    /// call must have been sent; a thread that was paused in between checks it again.
    /// Any thread.
    [[nodiscard]] std::optional<TimePoint> tryAcquire(const Clock &clock);
    /// Counts a call regardless of the lease. Any thread.
    void acquire();
    /// Returns a slot when its call has ended. Any thread.
    void release();

    /// Replaces the lease. Control thread only.
    void setLease(std::uint32_t slots, TimePoint until);
    /// Slots that may be used at \a now.
    [[nodiscard]] std::uint32_t slots(TimePoint now) const;
    /// End of the lease.
    [[nodiscard]] TimePoint until() const;
    /// Calls that hold a slot.
    [[nodiscard]] std::uint32_t inUse() const;

private:
    std::atomic<std::uint64_t> m_lease{0}; ///< End in milliseconds in the upper 48 bits, slots in the lower 16.
    std::atomic<std::uint32_t> m_inUse{0};
};

} // namespace mimosahub
