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

/// Data from which traffic threads choose an endpoint: an immutable table that the
/// control thread rebuilds, and counters of calls in flight that outlive the table.
namespace mimosahub
{

/// Counts this daemon's calls in flight to one endpoint. Thread-safe.
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

/// Counts calls against this daemon's lease of slots (permitted concurrent calls) of
/// one endpoint. Reads the lease as it is now, not as it was when the table was built.
/// Thread-safe.
class SlotGate
{
public:
    virtual ~SlotGate() = default;
    /// Whether the lease allows one more call now.
    [[nodiscard]] virtual bool open() const = 0;
    /// Counts one more call, and returns true, if the lease allows it now.
    [[nodiscard]] virtual bool tryEnter() = 0;
    /// Counts one more call even if the lease doesn't allow it.
    virtual void enter() = 0;
    /// Stops counting a call that has ended.
    virtual void leave() = 0;
};

/// Permission for one call in flight to an endpoint; released on destruction.
class InFlightSlot
{
public:
    InFlightSlot() = default;
    /// Takes ownership of a call already counted by \a counter, and by \a gate unless null.
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

/// An endpoint's newest load report, in this daemon's time.
struct QueueReport {
    TimePoint takenAt; ///< This daemon's clock at receipt, less the report's age.
    int calls = 0; ///< Running and queued calls of all daemons.
    int ownCalls = 0; ///< This daemon's calls in flight at takenAt, as far as known.
};

/// State of one endpoint, as used to choose between endpoints.
struct EndpointRow {
    EndpointInfo info;
    EndpointState state = EndpointState::Cold;
    int limit = 0; ///< Concurrent calls that the endpoint accepts, over all daemons.
    /// This daemon's part of the limit when the table was built: its leased slots or, at
    /// a warm or warming endpoint, a fixed part of the limit if that is more.
    int allowed = 0;
    bool probe = false; ///< Failing, and one probe may be sent.
    bool drained = false; ///< Drained by an order: gets no new calls.
    /// The endpoint's zone gets this fraction of its full share of traffic (1 = all).
    /// The same for all rows of one service and zone.
    double zoneFactor = 1.0;
    Duration callTime{}; ///< Expected time of one call.
    std::optional<QueueReport> report;
    std::shared_ptr<InFlightCounter> inFlight = std::make_shared<InFlightCounter>();
    std::shared_ptr<SlotGate> gate; ///< Absent where slots aren't leased.
    /// Whether a call needs a free leased slot, as on a cold endpoint. If false, as on a
    /// warm or warming one, up to callLimit() calls may run whatever the lease allows.
    bool leasedOnly = false;
    std::uint64_t hash = 0; ///< Hash of the id; set by EndpointTable.

    /// Whether it may get new calls at all, disregarding the calls in flight.
    [[nodiscard]] bool acceptsCalls() const;
    /// Calls that this daemon may have in flight now: the lesser of limit and allowed, at
    /// most 1 for a probe; 0 if the endpoint may get none. The gate is not considered.
    [[nodiscard]] int callLimit() const;
    /// Whether one more call may start now.
    [[nodiscard]] bool mayStartCall() const
    {
        return inFlight->value() < callLimit() && (!gate || !leasedOnly || gate->open());
    }
    /// Counts one more call; nullopt if none may start now.
    [[nodiscard]] std::optional<InFlightSlot> tryAcquireSlot() const;
};

/// The endpoints of one service, version and zone.
struct EndpointGroup {
    ServiceId service;
    VersionId version;
    ZoneId zone;
    double zoneFactor = 1.0; ///< The zone gets this fraction of its full share of traffic; 0 if the zone is out.
    std::vector<EndpointRow> rows; ///< Ordered by id.
};

/// All endpoints, grouped by service, version and zone.
class EndpointTable
{
public:
    EndpointTable() = default;
    explicit EndpointTable(std::vector<EndpointRow> rows);

    /// Groups of \a service, ordered by version and zone.
    [[nodiscard]] std::span<const EndpointGroup> groups(const ServiceId &service) const;
    /// Concurrent calls that the endpoints of \a service accept over all daemons,
    /// weighted with the factors of their zones.
    [[nodiscard]] int capacity(const ServiceId &service) const;

private:
    std::unordered_map<ServiceId, std::vector<EndpointGroup>> m_services;
};

} // namespace mimosahub
