#pragma once

#include "mimosahub/clock.h"
#include "mimosahub/endpoint.h"
#include "route/endpoint_condition.h"

#include <atomic>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

/// What traffic threads read to choose an endpoint: an immutable table that the
/// control thread rebuilds, and counters of calls in flight that outlive it.
namespace mimosahub
{

/// Counts this daemon's calls in flight to one endpoint; any thread may use it.
class InFlightCounter
{
public:
    [[nodiscard]] int value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }
    /// Adds one call unless \a limit calls are already in flight.
    [[nodiscard]] bool tryAcquire(int limit)
    {
        int n = m_value.load(std::memory_order_relaxed);
        while (n < limit) {
            if (m_value.compare_exchange_weak(n, n + 1, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }
    void release()
    {
        m_value.fetch_sub(1, std::memory_order_relaxed);
    }

private:
    std::atomic<int> m_value = 0;
};

/// This daemon's lease of slots of one endpoint. What is read of it holds at that
/// moment, not when the table was made. Any thread.
class SlotGate
{
public:
    virtual ~SlotGate() = default;
    /// Whether the lease allows one more call now.
    [[nodiscard]] virtual bool open() const = 0;
    /// Counts one more call if the lease allows it now.
    [[nodiscard]] virtual bool tryEnter() = 0;
    /// Counts one more call, whatever the lease allows.
    virtual void enter() = 0;
    /// A call has ended.
    virtual void leave() = 0;
};

/// The right to have one call in flight to an endpoint; given back when destroyed.
class InFlightSlot
{
public:
    InFlightSlot() = default;
    /// Takes over a call that was added to \a counter, and to \a gate if there is one.
    explicit InFlightSlot(std::shared_ptr<InFlightCounter> counter, std::shared_ptr<SlotGate> gate = nullptr)
        : m_counter(std::move(counter)), m_gate(std::move(gate))
    {
    }
    InFlightSlot(InFlightSlot &&other) noexcept = default;
    InFlightSlot &operator=(InFlightSlot &&other) noexcept
    {
        std::swap(m_counter, other.m_counter);
        std::swap(m_gate, other.m_gate);
        return *this;
    }
    ~InFlightSlot()
    {
        if (m_gate) {
            m_gate->leave();
        }
        if (m_counter) {
            m_counter->release();
        }
    }

private:
    std::shared_ptr<InFlightCounter> m_counter;
    std::shared_ptr<SlotGate> m_gate;
};

/// What an endpoint last reported, as this daemon received it.
struct QueueReport {
    TimePoint takenAt; ///< This daemon's clock at receipt, less the report's age.
    int calls = 0; ///< Running and queued calls of all daemons.
    int ownCalls = 0; ///< This daemon's calls in flight at takenAt, as far as known.
};

/// One endpoint as the chooser sees it.
struct EndpointRow {
    EndpointInfo info;
    EndpointState state = EndpointState::Cold;
    int limit = 0; ///< Concurrent calls the endpoint bears, over all daemons.
    int allowed = 0; ///< This daemon's part of the limit (its slot grant).
    bool probe = false; ///< Failing, and one probe may be sent.
    bool drained = false; ///< An order takes it out; no new work.
    double zoneFactor = 1.0; ///< Part of its share of traffic that its zone gets; equal within a service and zone.
    Duration callTime{}; ///< Expected time of one call.
    std::optional<QueueReport> report;
    std::shared_ptr<InFlightCounter> inFlight = std::make_shared<InFlightCounter>();
    std::shared_ptr<SlotGate> gate; ///< Absent where slots aren't leased.
    bool leasedOnly = false; ///< Nothing may run beyond the lease, as on a cold endpoint.
    std::uint64_t hash = 0; ///< Hash of the id; set by EndpointTable.

    /// Whether it may get new work at all, full or not.
    [[nodiscard]] bool acceptsCalls() const;
    /// Calls that this daemon may have in flight now; 0 if it may get no work.
    [[nodiscard]] int usable() const;
    /// Whether one more call may start now.
    [[nodiscard]] bool hasRoom() const
    {
        return inFlight->value() < usable() && (!gate || !leasedOnly || gate->open());
    }
    /// Counts one more call, unless there is no room.
    [[nodiscard]] std::optional<InFlightSlot> tryTake() const;
};

/// The endpoints of one service, version and zone.
struct EndpointGroup {
    ServiceId service;
    VersionId version;
    ZoneId zone;
    double zoneFactor = 1.0; ///< Part of its share of traffic that the zone gets, 0 if it is out.
    std::vector<EndpointRow> rows; ///< By id.
};

/// All endpoints, grouped for choice.
class EndpointTable
{
public:
    EndpointTable() = default;
    explicit EndpointTable(std::vector<EndpointRow> rows);

    /// Groups of \a service, ordered by version and zone.
    [[nodiscard]] std::span<const EndpointGroup> groups(const ServiceId &service) const;
    /// Concurrent calls that the endpoints of \a service bear over all daemons,
    /// with the factors of their zones.
    [[nodiscard]] int capacity(const ServiceId &service) const;

private:
    std::unordered_map<ServiceId, std::vector<EndpointGroup>> m_services;
};

} // namespace mimosahub
