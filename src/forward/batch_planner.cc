// A call starts when an endpoint has a free slot, with as many of the waiting pieces
// as fit into it. While all endpoints are busy, pieces accumulate, so that calls are
// full exactly when the load is high. While the endpoints are nearly busy, CallFill
// may let the queue wait a little, so that its pieces share the fixed time of a call.
// Pieces whose request can still be on time go first, then by rank and by due time.
//
// The results of a call occupy memory at the endpoint that made them until they are
// dropped. No call is started whose results would not fit by the accounting of
// ResultMemory. An endpoint that has no memory nevertheless is paused, and its free
// memory is queried.

#include "forward/batch_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace mimosahub
{

namespace
{

constexpr Duration kMinCallTime = std::chrono::milliseconds(1); ///< For endpoints with a call time of zero.
constexpr double kSlowLatencyRatio = 1.8; ///< From this multiple of the expected time on, an endpoint is used last.

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

BatchPlanner::BatchPlanner(const BatchRule &rule, const BatchPlannerOptions &options)
    : m_options(options), m_memory(options.memory), m_fill(options.fill)
{
    setRule(rule);
}

void BatchPlanner::setRule(const BatchRule &rule)
{
    m_rule = rule;
    m_memory.setRule(rule.resultBytes, rule.resultLifetime);
}

void BatchPlanner::setEndpoints(const std::vector<ListedEndpoint> &endpoints)
{
    for (auto &[id, state] : m_endpoints) {
        state.usable = false;
    }
    for (const auto &listed : endpoints) {
        auto &state = m_endpoints[listed.info.id];
        if (state.listed.startedAtMs != listed.startedAtMs) {
            state = EndpointState(); // After a restart it holds no earlier results.
            m_memory.remove(listed.info.id);
        }
        m_memory.add(listed.info.id, listed.info.address);
        state.listed = listed;
        state.usable = !listed.info.leaving;
    }
    std::erase_if(m_endpoints, [this](const auto &entry) {
        const bool gone = !entry.second.usable && entry.second.running == 0;
        if (gone) {
            m_memory.remove(entry.first);
        }
        return gone;
    });
}

void BatchPlanner::recordRest(const EndpointStart &endpoint, TimePoint until)
{
    const auto it = m_endpoints.find(endpoint.endpoint);
    if (it == m_endpoints.end() || it->second.listed.startedAtMs != endpoint.startedAtMs) {
        return;
    }
    auto &state = it->second;
    state.restsUntil = std::max(state.restsUntil, until);
    state.pausedUntil = std::max(state.pausedUntil, state.restsUntil);
}

std::set<EndpointId> BatchPlanner::restingEndpoints(TimePoint now) const
{
    std::set<EndpointId> resting;
    for (const auto &[id, state] : m_endpoints) {
        if (now < state.restsUntil) {
            resting.insert(id);
        }
    }
    return resting;
}

std::vector<ResultRelease> BatchPlanner::takeReleases(TimePoint now)
{
    return m_memory.takeReleases(restingEndpoints(now));
}

PieceOrderId BatchPlanner::add(PieceOrder order)
{
    m_lastOrder = m_lastOrder.next();
    OpenOrder open;
    open.missing = order.pieces;
    open.handles.resize(static_cast<std::size_t>(order.pieces));
    for (int i = 0; i < order.pieces; ++i) {
        m_queue.push_back({m_lastOrder, i, 0});
    }
    m_arrived += static_cast<std::size_t>(order.pieces);
    open.order = std::move(order);
    m_orders.emplace(m_lastOrder, std::move(open));
    return m_lastOrder;
}

void BatchPlanner::cancel(PieceOrderId id)
{
    const auto it = m_orders.find(id);
    if (it == m_orders.end()) {
        return;
    }
    std::erase_if(m_queue, [&](const auto &piece) { return piece.order == id; });
    for (const auto &handle : it->second.handles) {
        m_memory.drop(handle);
    }
    m_orders.erase(it);
}

Duration BatchPlanner::expectedTime(std::size_t pieces) const
{
    return m_rule.callTime + m_rule.pieceTime * static_cast<Duration::rep>(pieces);
}

void BatchPlanner::ended(BatchCallId call, const std::vector<PieceResult> &results, TimePoint now)
{
    const auto node = m_calls.extract(call);
    if (node.empty()) {
        return;
    }
    const auto &running = node.mapped();
    if (auto *endpoint = endpointOf(running)) {
        --endpoint->running;
        endpoint->failures = 0;
        m_memory.unreserve(running.endpoint, running.bytes);
        const auto ratio = std::chrono::duration<double>(now - running.startedAt)
            / std::max<std::chrono::duration<double>>(running.expected, std::chrono::milliseconds(1));
        endpoint->latencyRatio += m_options.latencyRatioWeight * (ratio - endpoint->latencyRatio);
        updateHealth(*endpoint, now);
    }
    for (std::size_t i = 0; i < running.pieces.size() && i < results.size(); ++i) {
        finishPiece(running.pieces[i], results[i], running.endpoint, now);
    }
}

void BatchPlanner::finishPiece(const QueuedPiece &piece, const PieceResult &result, const EndpointId &endpoint,
                               TimePoint now)
{
    const auto it = m_orders.find(piece.order);
    if (result.outcome == PieceOutcome::Done) {
        m_memory.store(result.handle, endpoint, it == m_orders.end() ? 0 : it->second.order.resultBytes, now);
    }
    if (it == m_orders.end()) {
        m_memory.drop(result.handle);
        return;
    }
    switch (result.outcome) {
    case PieceOutcome::Done:
        it->second.handles[static_cast<std::size_t>(piece.piece)] = result.handle;
        if (--it->second.missing == 0) {
            endOrder(piece.order, PieceOutcome::Done);
        }
        break;
    case PieceOutcome::MemoryFull:
        if (const auto state = m_endpoints.find(endpoint); state != m_endpoints.end()) {
            state->second.pausedUntil = std::max(state->second.pausedUntil, now + m_options.refusedPause);
        }
        m_memory.recordMemoryFull(endpoint);
        retry(piece, result.outcome);
        break;
    case PieceOutcome::Failed:
        retry(piece, result.outcome);
        break;
    case PieceOutcome::Late:
    case PieceOutcome::InputsGone:
    case PieceOutcome::Moved:
        endOrder(piece.order, result.outcome);
        break;
    }
}

void BatchPlanner::failed(BatchCallId call, BatchFailure failure, TimePoint now)
{
    const auto node = m_calls.extract(call);
    if (node.empty()) {
        return;
    }
    const auto &running = node.mapped();
    if (auto *endpoint = endpointOf(running)) {
        --endpoint->running;
        m_memory.unreserve(running.endpoint, running.bytes);
        if (failure == BatchFailure::NotRun) {
            endpoint->pausedUntil = std::max(endpoint->pausedUntil, now + m_options.refusedPause);
        } else {
            pause(*endpoint, now);
        }
    }
    if (failure == BatchFailure::BrokenOff) {
        recordBrokenCall(running.pieces);
    }
    for (const auto &piece : running.pieces) {
        if (failure == BatchFailure::Lost || failure == BatchFailure::BrokenOff) {
            retry(piece, PieceOutcome::Failed);
        } else if (m_orders.contains(piece.order)) {
            m_queue.push_back(piece);
        }
    }
}

void BatchPlanner::recordBrokenCall(const Queue &pieces)
{
    std::set<PieceOrderId> orders;
    for (const auto &piece : pieces) {
        orders.insert(piece.order);
    }
    for (const auto id : orders) {
        const auto it = m_orders.find(id);
        if (it != m_orders.end() && ++it->second.brokenCalls >= m_options.maxBrokenCalls) {
            endOrder(id, PieceOutcome::Failed);
        }
    }
}

/// Whether pieces of \a order may be in a call with \a pieces.
bool BatchPlanner::mayShareCall(PieceOrderId order, const Queue &pieces) const
{
    const auto isBroken = [this](PieceOrderId id) { return m_orders.at(id).brokenCalls > 0; };
    return pieces.empty() || (!isBroken(order) && !isBroken(pieces.front().order));
}

/// The endpoint that has \a call; null if it is gone or has restarted since.
const BatchPlanner::EndpointState *BatchPlanner::endpointOf(const RunningCall &call) const
{
    const auto it = m_endpoints.find(call.endpoint);
    const bool known = it != m_endpoints.end() && it->second.listed.startedAtMs == call.endpointStartedAtMs;
    return known ? &it->second : nullptr;
}

BatchPlanner::EndpointState *BatchPlanner::endpointOf(const RunningCall &call)
{
    return const_cast<EndpointState *>(std::as_const(*this).endpointOf(call));
}

void BatchPlanner::pause(EndpointState &endpoint, TimePoint now)
{
    constexpr int kMaxDoublings = 4;
    const auto delay = m_options.failedPause * (1 << std::min(endpoint.failures, kMaxDoublings));
    ++endpoint.failures;
    const TimePoint pausedUntil = now + std::min<Duration>(delay, m_options.failedPauseMax);
    endpoint.pausedUntil = std::max(endpoint.restsUntil, pausedUntil);
    updateHealth(endpoint, now);
}

void BatchPlanner::updateHealth(EndpointState &endpoint, TimePoint now)
{
    const auto health = endpoint.pausedUntil > now   ? EndpointHealth::Paused
        : endpoint.latencyRatio >= kSlowLatencyRatio ? EndpointHealth::Slow
                                                     : EndpointHealth::Healthy;
    m_healthLog.record(endpoint.health, {endpoint.listed.info.id, health, endpoint.failures, endpoint.latencyRatio});
}

void BatchPlanner::retry(QueuedPiece piece, PieceOutcome outcome)
{
    if (!m_orders.contains(piece.order)) {
        return;
    }
    if (++piece.tries >= m_options.maxTries) {
        endOrder(piece.order, outcome);
        return;
    }
    m_queue.push_back(piece);
}

void BatchPlanner::endOrder(PieceOrderId id, PieceOutcome outcome)
{
    const auto it = m_orders.find(id);
    if (it == m_orders.end()) {
        return;
    }
    if (outcome != PieceOutcome::Done) {
        cancel(id);
        m_ended.push_back({id, {outcome, {}}});
        return;
    }
    m_ended.push_back({id, {outcome, std::move(it->second.handles)}});
    m_orders.erase(it);
}

void BatchPlanner::handOff()
{
    std::map<PieceOrderId, int> queued;
    for (const auto &piece : m_queue) {
        ++queued[piece.order];
    }
    for (const auto &[id, pieces] : queued) {
        if (pieces == m_orders.at(id).order.pieces) {
            endOrder(id, PieceOutcome::Moved);
        }
    }
    m_memory.forgetOtherUsage();
}

std::vector<ResultHandle> BatchPlanner::release(const std::vector<ResultHandle> &handles)
{
    std::vector<ResultHandle> unknown;
    for (const auto &handle : handles) {
        if (!m_memory.drop(handle)) {
            unknown.push_back(handle);
        }
    }
    return unknown;
}

std::vector<MemoryQuery> BatchPlanner::takeMemoryQueries(TimePoint now)
{
    return m_queue.empty() ? std::vector<MemoryQuery>() : m_memory.takeMemoryQueries(now, restingEndpoints(now));
}

void BatchPlanner::dropExpired(TimePoint now)
{
    std::set<PieceOrderId> expired;
    for (const auto &piece : m_queue) {
        if (now + m_rule.callTime >= m_orders.at(piece.order).order.expiresAt) {
            expired.insert(piece.order);
        }
    }
    for (const auto id : expired) {
        endOrder(id, PieceOutcome::Late);
    }
}

std::vector<CallSlot> BatchPlanner::callSlots(TimePoint now) const
{
    std::vector<CallSlot> slots;
    const auto typical = expectedTime(std::min(m_queue.size(), static_cast<std::size_t>(m_rule.maxPieces)));
    for (const auto &[id, state] : m_endpoints) {
        if (!state.usable) {
            continue;
        }
        const auto callTime = std::max(kMinCallTime, scaled(typical, std::min(state.latencyRatio, kSlowLatencyRatio)));
        for (int slot = 0; slot < m_rule.slots; ++slot) {
            const auto busyUntil = slot < state.running ? state.freeAt : now;
            slots.push_back({std::max(state.pausedUntil, busyUntil), callTime, m_rule.maxPieces});
        }
    }
    return slots;
}

bool BatchPlanner::isLate(const PieceOrder &order, TimePoint now) const
{
    return now + expectedTime(static_cast<std::size_t>(m_rule.maxPieces)) > order.dueAt;
}

void BatchPlanner::recordOnTime(std::size_t pieces, TimePoint now)
{
    const auto age = std::chrono::duration<double>(now - m_countedAt) / m_options.rateWindow;
    m_onTimePieces = m_onTimePieces * std::exp(-age) + static_cast<double>(pieces);
    m_countedAt = now;
}

/// The share of the endpoints' time that pieces on time leave for pieces that are late.
double BatchPlanner::lateShare(const std::vector<CallSlot> &slots, TimePoint now) const
{
    const auto age = std::chrono::duration<double>(now - m_countedAt) / m_options.rateWindow;
    double capacity = 0.0; // Pieces per rate window.
    for (const auto &slot : slots) {
        capacity += slot.pieces * (std::chrono::duration<double>(m_options.rateWindow) / slot.callTime);
    }
    return std::clamp(1.0 - m_onTimePieces * std::exp(-age) / capacity, m_options.minLateShare, 1.0);
}

// An order that cannot be done before it expires, given the pieces queued before it,
// is ended at once: its caller is notified now and can retry when the queue is shorter.
// Orders that are late already yield to all that can still be on time, including
// those that are yet to arrive, so only the remaining share of time counts for them.
void BatchPlanner::dropInfeasible(TimePoint now)
{
    const auto slots = callSlots(now);
    if (slots.empty()) {
        return;
    }
    const double shareForLate = lateShare(slots, now);
    std::vector<PieceOrderId> infeasible;
    double ahead = 0.0;
    for (auto begin = m_queue.begin(); begin != m_queue.end();) {
        const auto end =
            std::find_if(begin, m_queue.end(), [&](const auto &piece) { return piece.order != begin->order; });
        const auto &order = m_orders.at(begin->order).order;
        const double work = static_cast<double>(end - begin) / (isLate(order, now) ? shareForLate : 1.0);
        if (ahead + work > static_cast<double>(piecesDoneBy(slots, now, order.expiresAt))) {
            infeasible.push_back(begin->order);
        } else {
            ahead += work;
        }
        begin = end;
    }
    for (const auto id : infeasible) {
        endOrder(id, PieceOutcome::Late);
    }
}

void BatchPlanner::sortQueue(TimePoint now)
{
    const auto key = [&](const QueuedPiece &piece) {
        const auto &order = m_orders.at(piece.order).order;
        return std::make_tuple(isLate(order, now), order.rank, order.dueAt, piece.order, piece.piece);
    };
    std::sort(m_queue.begin(), m_queue.end(), [&](const auto &a, const auto &b) { return key(a) < key(b); });
}

std::vector<BatchPlanner::EndpointState *> BatchPlanner::idleEndpoints(TimePoint now)
{
    std::vector<EndpointState *> idle;
    for (auto &[id, state] : m_endpoints) {
        const bool free = state.usable && state.running < m_rule.slots && state.pausedUntil <= now;
        if (free && m_memory.isUsageKnown(id, now)) {
            idle.push_back(&state);
        }
    }
    std::sort(idle.begin(), idle.end(), [](const auto *a, const auto *b) { return a->latencyRatio < b->latencyRatio; });
    return idle;
}

bool BatchPlanner::worthUsing(const EndpointState &endpoint, TimePoint now) const
{
    if (endpoint.latencyRatio < kSlowLatencyRatio) {
        return true;
    }
    // A slow endpoint is used only if the others would take longer for the queued pieces.
    const auto full = static_cast<std::size_t>(m_rule.maxPieces);
    const auto time = scaled(expectedTime(std::min(full, m_queue.size())), endpoint.latencyRatio);
    int others = 0;
    Duration earliest = Duration::max();
    for (const auto &[id, state] : m_endpoints) {
        if (state.usable && state.latencyRatio < kSlowLatencyRatio && state.pausedUntil <= now) {
            ++others;
            earliest = std::min(earliest, std::max(Duration::zero(), Duration(state.freeAt - now)));
        }
    }
    if (others == 0) {
        return true;
    }
    const auto rounds = m_queue.size() / (full * static_cast<std::size_t>(others)) + 1;
    return time < earliest + expectedTime(full) * static_cast<Duration::rep>(rounds);
}

BatchPiece BatchPlanner::toBatchPiece(const QueuedPiece &piece, TimePoint now) const
{
    const auto &order = m_orders.at(piece.order).order;
    BatchPiece described;
    described.request = order.request;
    described.stage = order.stage;
    described.piece = piece.piece;
    described.remaining = std::max(Duration::zero(), Duration(order.expiresAt - now));
    described.key = order.key;
    described.inputs = order.inputs;
    return described;
}

std::optional<ZoneId> BatchPlanner::preferredZoneOf(const PieceOrder &order, std::uint64_t threshold)
{
    std::uint64_t total = 0;
    const std::pair<const ZoneId, std::uint64_t> *most = nullptr;
    for (const auto &entry : order.localBytes) {
        total += entry.second;
        if (most == nullptr || entry.second > most->second) {
            most = &entry;
        }
    }
    const bool matters = total * static_cast<std::uint64_t>(order.pieces) > threshold;
    return matters ? std::optional(most->first) : std::nullopt;
}

std::map<ZoneId, BatchPlanner::ZoneWait> BatchPlanner::zoneWaits(TimePoint now) const
{
    std::map<ZoneId, ZoneWait> waits;
    for (const auto &[id, state] : m_endpoints) {
        if (!state.usable || state.pausedUntil > now) {
            continue;
        }
        auto &wait = waits[state.listed.info.zone];
        ++wait.endpoints;
        const bool idle = state.running < m_rule.slots;
        wait.earliest =
            std::min(wait.earliest, idle ? Duration::zero() : std::max(Duration::zero(), Duration(state.freeAt - now)));
    }
    for (const auto &piece : m_queue) {
        if (const auto preferredZone = preferredZoneOf(m_orders.at(piece.order).order, m_options.minCrossZoneBytes)) {
            ++waits[*preferredZone].queued;
        }
    }
    return waits;
}

bool BatchPlanner::mayRunIn(const PieceOrder &order, const ZoneId &zone, const std::map<ZoneId, ZoneWait> &waits,
                            TimePoint now) const
{
    const auto preferredZone = preferredZoneOf(order, m_options.minCrossZoneBytes);
    if (!preferredZone || *preferredZone == zone) {
        return true;
    }
    const auto &wait = waits.at(*preferredZone);
    if (wait.endpoints == 0) {
        return true;
    }
    const auto call = expectedTime(static_cast<std::size_t>(m_rule.maxPieces));
    const auto rounds = wait.queued / (m_rule.maxPieces * wait.endpoints);
    const auto done = now + wait.earliest + call * (rounds + 1);
    return done > (isLate(order, now) ? order.expiresAt : order.dueAt);
}

// Orders are taken whole where they fit, since an order is done only when all its
// pieces are. An order that does not fit into an empty call is split.
std::optional<BatchCall> BatchPlanner::fillCall(EndpointState &endpoint, const std::map<ZoneId, ZoneWait> &waits,
                                                TimePoint now)
{
    RunningCall running;
    Queue left;
    const auto most = static_cast<std::size_t>(m_rule.maxPieces);
    for (auto begin = m_queue.begin(); begin != m_queue.end();) {
        const auto end =
            std::find_if(begin, m_queue.end(), [&](const auto &piece) { return piece.order != begin->order; });
        const auto &order = m_orders.at(begin->order).order;
        auto taken = begin;
        if (mayShareCall(begin->order, running.pieces) && mayRunIn(order, endpoint.listed.info.zone, waits, now)) {
            const auto count = static_cast<std::size_t>(end - begin);
            auto n = std::min(count, most - running.pieces.size());
            while (n > 0 && !m_memory.fits(endpoint.listed.info.id, order.resultBytes, n, running.bytes)) {
                --n;
            }
            if (n == count || running.pieces.empty()) {
                taken = begin + static_cast<Queue::difference_type>(n);
                running.bytes += order.resultBytes * n;
            }
        }
        if (!isLate(order, now)) {
            recordOnTime(static_cast<std::size_t>(taken - begin), now);
        }
        running.pieces.insert(running.pieces.end(), begin, taken);
        left.insert(left.end(), taken, end);
        begin = end;
    }
    if (running.pieces.empty()) {
        return std::nullopt;
    }
    m_queue = std::move(left);
    return beginCall(endpoint, std::move(running), now);
}

BatchCall BatchPlanner::beginCall(EndpointState &endpoint, RunningCall running, TimePoint now)
{
    m_lastCall = m_lastCall.next();
    running.endpoint = endpoint.listed.info.id;
    running.endpointStartedAtMs = endpoint.listed.startedAtMs;
    running.startedAt = now;
    running.expected = expectedTime(running.pieces.size());
    ++endpoint.running;
    m_memory.reserve(running.endpoint, running.bytes);
    BatchCall call;
    call.id = m_lastCall;
    call.endpoint = endpoint.listed;
    call.expected = scaled(running.expected, endpoint.latencyRatio);
    endpoint.freeAt = now + call.expected;
    for (const auto &piece : running.pieces) {
        call.pieces.push_back(toBatchPiece(piece, now));
    }
    const auto usual = scaled(running.expected, m_options.overdueFactor * std::max(1.0, endpoint.latencyRatio))
        + m_options.overdueSlack;
    running.overdueAt = now + usual;
    call.timeout = usual;
    for (const auto &piece : running.pieces) {
        call.timeout = std::max(call.timeout, Duration(m_orders.at(piece.order).order.expiresAt - now));
    }
    m_calls.emplace(m_lastCall, std::move(running));
    return call;
}

CallFillState BatchPlanner::fillState(const std::vector<EndpointState *> &idle, TimePoint now) const
{
    CallFillState state;
    state.callTime = m_rule.callTime;
    state.pieceTime = m_rule.pieceTime;
    state.maxPieces = static_cast<std::size_t>(m_rule.maxPieces);
    state.queued = m_queue.size();
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.usable && endpoint.pausedUntil <= now) {
            state.slots += m_rule.slots / std::max(1.0, endpoint.latencyRatio);
        }
    }
    for (const auto *endpoint : idle) {
        state.idleSlots += static_cast<std::size_t>(m_rule.slots - endpoint->running);
    }
    state.slack = m_rule.callTime;
    for (const auto &piece : m_queue) {
        const Duration slack = m_orders.at(piece.order).order.dueAt - now - expectedTime(state.maxPieces);
        state.slack = std::min(state.slack, std::max(Duration::zero(), slack));
    }
    return state;
}

/// Whether the queue waits now to fill a call although an endpoint is free.
bool BatchPlanner::holdsCalls(const std::vector<EndpointState *> &idle, TimePoint now)
{
    m_heldUntil = idle.empty() ? std::nullopt : m_fill.holdUntil(fillState(idle, now), now);
    return m_heldUntil.has_value();
}

std::vector<BatchCall> BatchPlanner::takeCalls(TimePoint now)
{
    m_memory.expire(now);
    if (m_arrived > 0) {
        m_fill.recordArrivals(std::exchange(m_arrived, 0), now);
    }
    dropExpired(now);
    std::vector<BatchCall> calls;
    const auto idle = idleEndpoints(now);
    if (m_queue.empty() || (idle.empty() && now - m_queueCheckedAt < m_options.queueCheckInterval)) {
        if (m_queue.empty()) {
            static_cast<void>(m_fill.endHold(now));
            m_heldUntil.reset();
        }
        return calls;
    }
    if (holdsCalls(idle, now)) {
        return calls;
    }
    m_queueCheckedAt = now;
    sortQueue(now);
    dropInfeasible(now);
    const auto waits = zoneWaits(now);
    for (auto *endpoint : idle) {
        while (!m_queue.empty() && endpoint->running < m_rule.slots && worthUsing(*endpoint, now)) {
            auto call = fillCall(*endpoint, waits, now);
            if (!call) {
                break;
            }
            calls.push_back(std::move(*call));
        }
    }
    if (!calls.empty()) {
        m_fillWait += m_fill.endHold(now);
    }
    return calls;
}

/// Idle slots of endpoints that have answered all of their calls in the usual time, without
/// those that the queue will take.
std::map<EndpointId, int> BatchPlanner::spareSlots(TimePoint now) const
{
    std::set<EndpointId> silent;
    for (const auto &[id, call] : m_calls) {
        if (now >= call.overdueAt && endpointOf(call) != nullptr) {
            silent.insert(call.endpoint);
        }
    }
    std::map<EndpointId, int> slots;
    const auto most = static_cast<std::size_t>(m_rule.maxPieces);
    auto callsOfQueue = static_cast<int>((m_queue.size() + most - 1) / most);
    for (const auto &[id, state] : m_endpoints) {
        if (!state.usable || state.pausedUntil > now || silent.contains(id)) {
            continue;
        }
        const int idle = std::max(0, m_rule.slots - state.running);
        const int taken = std::min(idle, callsOfQueue);
        callsOfQueue -= taken;
        slots[id] = idle - taken;
    }
    return slots;
}

/// Takes one of \a slots at an endpoint that has memory for the results of \a call.
bool BatchPlanner::takeSlot(std::map<EndpointId, int> &slots, const RunningCall &call, TimePoint now) const
{
    const auto it = std::find_if(slots.begin(), slots.end(), [&](const auto &entry) {
        return entry.second > 0 && m_memory.isUsageKnown(entry.first, now)
            && m_memory.fits(entry.first, call.bytes, 1, 0);
    });
    if (it == slots.end()) {
        return false;
    }
    --it->second;
    return true;
}

BatchPlanner::GiveUp BatchPlanner::mayGiveUp(const RunningCall &call, TimePoint now) const
{
    bool needed = false;
    bool timeLeft = false;
    for (const auto &piece : call.pieces) {
        const auto it = m_orders.find(piece.order);
        if (it == m_orders.end() || now >= it->second.order.expiresAt) {
            continue;
        }
        if (piece.tries + 1 >= m_options.maxTries) {
            return GiveUp::No;
        }
        needed = true;
        timeLeft = timeLeft || now + m_rule.callTime < it->second.order.expiresAt;
    }
    if (!needed) {
        return GiveUp::Yes;
    }
    return timeLeft ? GiveUp::ForAnotherEndpoint : GiveUp::No;
}

std::vector<BatchCallId> BatchPlanner::callsToGiveUp(TimePoint now) const
{
    std::vector<BatchCallId> ids;
    auto slots = spareSlots(now);
    for (const auto &[id, call] : m_calls) {
        if (now < call.overdueAt) {
            continue;
        }
        const auto may = mayGiveUp(call, now);
        if (may == GiveUp::Yes || (may == GiveUp::ForAnotherEndpoint && takeSlot(slots, call, now))) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<EndedOrder> BatchPlanner::takeEnded()
{
    return std::exchange(m_ended, {});
}

std::optional<TimePoint> BatchPlanner::nextWakeup(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto take = [&](TimePoint at) {
        if (at > now) {
            next = std::min(next.value_or(at), at);
        }
    };
    for (const auto &[id, call] : m_calls) {
        take(std::max(call.overdueAt, TimePoint(now + m_options.queueCheckInterval)));
    }
    if (m_queue.empty()) {
        return next;
    }
    for (const auto &[id, state] : m_endpoints) {
        take(state.pausedUntil);
    }
    if (m_heldUntil) {
        take(*m_heldUntil);
    }
    if (const auto change = m_memory.nextChange(now)) {
        take(*change);
    }
    for (const auto &piece : m_queue) {
        take(m_orders.at(piece.order).order.expiresAt - m_rule.callTime);
    }
    return next;
}

/// The time until the first usable endpoint may be called, if all of them rest; else zero.
Duration BatchPlanner::restOfAll(TimePoint now) const
{
    auto rest = Duration::max();
    for (const auto &[id, state] : m_endpoints) {
        if (state.usable) {
            rest = std::min(rest, std::max(Duration::zero(), Duration(state.restsUntil - now)));
        }
    }
    return rest == Duration::max() ? Duration::zero() : rest;
}

BatchLoad BatchPlanner::load(TimePoint now) const
{
    BatchLoad load;
    load.queued = static_cast<int>(m_queue.size());
    load.call = expectedTime(static_cast<std::size_t>(m_rule.maxPieces));
    Duration earliest = Duration::max();
    double rate = 0.0; // Full calls that the endpoints together finish in the time of one call.
    for (const auto &[id, state] : m_endpoints) {
        if (!state.usable || state.pausedUntil > now) {
            continue;
        }
        ++load.endpoints;
        rate += m_rule.slots / std::max(1.0, state.latencyRatio);
        const bool idle = state.running < m_rule.slots;
        earliest =
            std::min(earliest, idle ? Duration::zero() : std::max(Duration::zero(), Duration(state.freeAt - now)));
    }
    if (load.endpoints == 0) {
        load.wait = Duration::max();
        load.rest = restOfAll(now);
        return load;
    }
    const double full = static_cast<double>(load.queued) / m_rule.maxPieces;
    load.wait = earliest + scaled(load.call, full / rate);
    return load;
}

} // namespace mimosahub
