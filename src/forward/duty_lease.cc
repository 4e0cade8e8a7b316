// Why two holders never overlap: a candidate appends a take-over no earlier than a lease after it
// has read the newest record, on the condition that no further record was appended since. The
// holder's lease began before that record was appended. A holder whose lease has ended never renews
// it; it takes over again like any other candidate, with a higher token.

#include "forward/duty_lease.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace mimosahub
{

namespace
{

constexpr std::string_view kCandidateKey = "duties";
constexpr double kLeastCapacityShare = 0.5; ///< Of the largest capacity.
/// The platform doesn't say which token it has seen, so that the next one skips some.
constexpr std::uint64_t kSkipAfterRefusal = 1000;
constexpr int kRenewalsPerLease = 3;
constexpr std::size_t kMaxLost = 16; ///< Appends that are remembered in case they are carried out late.

double scoreOf(const DaemonEntry &daemon)
{
    constexpr double kHashCount = 18446744073709551616.0; // 2^64
    const auto weight = static_cast<double>(rendezvousWeight(kCandidateKey, daemon.id.str()));
    return -daemon.capacity / std::log((weight + 1.0) / (kHashCount + 2.0));
}

} // namespace

std::vector<DaemonEntry> dutyCandidates(const std::vector<DaemonEntry> &daemons)
{
    auto candidates = daemons;
    std::erase_if(candidates, [](const DaemonEntry &daemon) { return daemon.leaving; });
    double largest = 0.0;
    for (const auto &daemon : candidates) {
        largest = std::max(largest, daemon.capacity);
    }
    std::sort(candidates.begin(), candidates.end(), [largest](const DaemonEntry &a, const DaemonEntry &b) {
        const auto rank = [largest](const DaemonEntry &daemon) {
            return std::tuple(daemon.capacity < largest * kLeastCapacityShare, -scoreOf(daemon), daemon.id);
        };
        return rank(a) < rank(b);
    });
    return candidates;
}

DutyLease::DutyLease(InstanceId self, std::uint64_t incarnation, const DutyLeaseOptions &options)
    : m_self(std::move(self)), m_incarnation(incarnation), m_options(options)
{
}

bool DutyLease::isOwn(const DutyLeaseRecord &record) const
{
    return record.holder == m_self && record.incarnation == m_incarnation;
}

void DutyLease::tableRead(TimePoint now)
{
    if (!m_recordAt) {
        m_recordAt = now;
    }
}

void DutyLease::takeRecord(const DutyLeaseRecord &record, TimePoint now)
{
    m_highest = std::max(m_highest, record.token);
    m_record = record;
    m_recordAt = now;
    if (m_own && record.token > m_own->token) {
        m_own.reset();
    }
    if (!isOwn(record)) {
        return;
    }
    const auto it =
        std::find_if(m_lost.begin(), m_lost.end(), [&](const Attempt &lost) { return lost.record == record; });
    if (it != m_lost.end()) {
        const auto attempt = *it;
        m_lost.erase(it);
        confirm(attempt);
    }
}

void DutyLease::learnToken(std::uint64_t token)
{
    m_highest = std::max(m_highest, token);
}

std::optional<DutyLeaseRecord> DutyLease::nextWrite(TimePoint now, std::uint64_t floor)
{
    if (m_own && now >= m_own->end) {
        m_own.reset();
    }
    if (!m_rank || !m_recordAt || m_pending || now < m_retryAt) {
        return std::nullopt;
    }
    if (m_own) {
        const bool overwritten = m_record && m_record->token < m_own->token; // The store has lost the record.
        return now >= m_own->renewAt || overwritten
            ? std::optional(DutyLeaseRecord{m_self, m_incarnation, m_own->token, ++m_renewals})
            : std::nullopt;
    }
    if (now < m_candidateAt || now < *m_recordAt + m_options.lease + *m_rank * m_options.candidateStep) {
        return std::nullopt;
    }
    return DutyLeaseRecord{m_self, m_incarnation, std::max(m_highest + 1, floor), ++m_renewals};
}

void DutyLease::writeBegan(const DutyLeaseRecord &record, TimePoint now)
{
    m_pending = Attempt{record, now};
}

void DutyLease::writeEnded(bool appended, TimePoint now)
{
    if (!m_pending) {
        return;
    }
    const auto attempt = *m_pending;
    m_pending.reset();
    if (!appended) {
        m_retryAt = now + m_options.retryDelay;
        m_lost.push_back(attempt);
        if (m_lost.size() > kMaxLost) {
            m_lost.erase(m_lost.begin());
        }
        if (m_record && m_record->renewal == attempt.record.renewal && isOwn(*m_record)) {
            takeRecord(*m_record, *m_recordAt); // It was read before the result was known.
        }
        return;
    }
    if (m_record && m_record->token > attempt.record.token) {
        return; // A later holder's record was read before the response came.
    }
    m_record = attempt.record;
    m_recordAt = now;
    confirm(attempt);
}

void DutyLease::confirm(const Attempt &attempt)
{
    m_highest = std::max(m_highest, attempt.record.token);
    if (attempt.record.token <= m_refused) {
        return;
    }
    const bool isNew = !m_own || m_own->token != attempt.record.token;
    if (isNew) {
        m_own = Own{attempt.record.token, attempt.at + m_options.lease, attempt.at + m_options.quiet, attempt.at};
    }
    m_own->end = std::max(m_own->end, TimePoint(attempt.at + m_options.lease));
    m_own->renewAt = std::max(m_own->renewAt, TimePoint(attempt.at + m_options.lease / kRenewalsPerLease));
}

void DutyLease::refused(TimePoint now)
{
    m_refused = std::max(m_refused, token());
    m_highest += kSkipAfterRefusal;
    m_own.reset();
    m_lost.clear();
    m_recordAt = now;
}

void DutyLease::giveUp(TimePoint now, Duration pause)
{
    m_refused = std::max(m_refused, token());
    m_own.reset();
    m_candidateAt = now + pause;
}

bool DutyLease::mayCall(TimePoint now) const
{
    return m_rank && m_own && now >= m_own->callsFrom && now + m_options.margin < m_own->end;
}

Duration DutyLease::callTime(TimePoint now) const
{
    return m_own ? std::max(Duration::zero(), Duration(m_own->end - m_options.margin - now)) : Duration::zero();
}

} // namespace mimosahub
