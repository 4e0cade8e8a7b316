#pragma once

#include "control/control_state.h"
#include "mimosahub/record.h"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

/// Generated histories of the log, and a referee that checks the fold's
/// verdicts against simple rules. Tests only.
namespace mimosahub
{

/// One step of a history; what the numbers mean depends on the kind.
struct Choice {
    int kind = 0;
    int writer = 0;
    int a = 0;
    int b = 0;
    int c = 0;
};

/// Digests of three bodies: of 1 and 2 the fold of format version 1 is the same,
/// and 3 is recorded under that version.
inline RecordedDigest digestOfBody(int body)
{
    const BodyDigest first{7, 0};
    const BodyDigest sameFold{7 ^ 0x9e3779b97f4a7c15ULL, 1};
    return body == 3 ? RecordedDigest(RecordedDigest(first).folded()) : RecordedDigest(body == 1 ? first : sameFold);
}

inline std::ostream &operator<<(std::ostream &out, const Choice &it)
{
    return out << it.kind << "/" << it.writer << "/" << it.a << "/" << it.b << "/" << it.c;
}

inline rc::Gen<Choice> genChoice()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 25), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 6),
                       rc::gen::inRange(0, 4)),
        [](const auto &it) {
            return Choice{std::get<0>(it), std::get<1>(it), std::get<2>(it), std::get<3>(it), std::get<4>(it)};
        });
}

/// Histories of up to 400 steps, at full size from the first case on.
inline rc::Gen<std::vector<Choice>> genChoices()
{
    const auto sized = rc::gen::mapcat(rc::gen::inRange(0, 400),
                                       [](int n) { return rc::gen::container<std::vector<Choice>>(n, genChoice()); });
    return rc::gen::resize(rc::kNominalSize, sized);
}

/// Makes the record that \a it stands for, as a daemon would that has seen \a seen.
inline Record recordFor(const Choice &it, const ControlState &seen, WallTime now)
{
    const auto name = std::string(1, static_cast<char>('a' + it.a));
    const std::string by = "op" + std::to_string(it.writer);
    const ServiceId service(name);
    const auto version = [](int n) { return VersionId("v" + std::to_string(n)); };
    const auto rollout = seen.rollouts().latest(service).value_or(Rollout{});
    const auto change = [&](ObjectKind kind, std::optional<std::string> spec) {
        const ObjectKey key{kind, name};
        return ObjectChange{key, it.b == 5 ? Offset(1) : seen.versionOf(key).value_or(Offset()), std::move(spec)};
    };
    const LeaseName leaseName(name);
    const auto lease = seen.lease(leaseName).value_or(Lease{});
    const auto orders = seen.endpointOrders();
    switch (it.kind) {
    case 0:
        return Publish{by, {change(ObjectKind::Zone, R"({"region":"r)" + std::to_string(it.b) + "\"}")}};
    case 1:
        return Publish{
            by,
            {change(ObjectKind::Profile, R"({"deadline":"8s","default_share":0.)" + std::to_string(it.b) + "1}"),
             change(ObjectKind::Service, R"({"kind":"engine","profile":")" + name + "\"}")}};
    case 2:
        // Invalid while the service of that name still refers to the profile.
        return Publish{by, {change(ObjectKind::Zone, R"({"region":"x"})"), change(ObjectKind::Profile, std::nullopt)}};
    case 3:
        return Publish{by, {change(it.b % 2 ? ObjectKind::Zone : ObjectKind::Service, std::nullopt)}};
    case 4:
        return ZoneOrder{ZoneId(name), it.b % 2 == 0, by};
    case 5:
        return DrainOrder{EndpointId("e" + std::to_string(it.b)), service, it.c > 0, by};
    case 6:
        return RolloutStart{service, version(0), version(it.b), now, now + std::chrono::minutes(it.c), it.c == 3, by};
    case 7:
        return RolloutAbort{service, by};
    case 8:
        return RolloutRollback{service, rollout.toVersion, rollout.position, RollbackReason::Slowness, "5 of 9"};
    case 9:
        return RolloutDone{service, version(it.b), rollout.position};
    case 10:
        return EndpointOrder{EndpointId("e"), service, EndpointAction::ChangeRole, "prefill", by};
    case 11:
    case 12: {
        const auto order = orders.empty() ? RecordPosition() : std::next(orders.begin(), it.b % orders.size())->first;
        return EndpointOrderDone{order, true, "\xc3\xa9t\xc3\xa9"};
    }
    case 13:
    case 14:
        return LeaseAcquire{leaseName, lease.fencing, it.b == 5 ? Offset() : lease.lastRenewal,
                            std::chrono::milliseconds(it.c * 1000)};
    case 15:
        return LeaseRenew{leaseName, lease.fencing};
    case 16:
        return LeaseRelease{leaseName, lease.fencing};
    case 17:
    case 18:
        return Claim{WorkspaceId("w"), IdempotencyKey(name), digestOfBody(it.c), now + std::chrono::minutes(it.c)};
    case 19: {
        const auto claim = seen.claim(WorkspaceId("w"), IdempotencyKey(name));
        const auto answer = it.c == 0 ? std::nullopt : std::optional(ClaimAnswer{Outcome::Ok, 200, "{}"});
        return ClaimOutcome{claim ? claim->position : RecordPosition(), answer};
    }
    case 20:
        return MemberJoin{ZoneId(name), {"10.0.0.1", 7000}};
    case 21:
        return it.b % 2 ? Record(MemberLeave{})
                        : Record(MemberEvict{InstanceId("d" + std::to_string(it.a)), Incarnation(it.c + 1U)});
    default:
        return SnapshotPart{Offset(it.b), static_cast<std::uint32_t>(it.c % 2), 2, 1, "x"};
    }
}

/// Appends as three racing daemons write them: some on a view that is out of
/// date, some twice, some damaged, some out of order, some after a restart.
class HistoryBuilder
{
public:
    explicit HistoryBuilder(const std::vector<Choice> &choices)
    {
        for (const auto &it : choices) {
            add(it);
        }
    }
    [[nodiscard]] const std::vector<std::string> &log() const
    {
        return m_log;
    }

private:
    void add(const Choice &it)
    {
        m_now += std::chrono::seconds(10);
        if (it.kind == 23 && !m_log.empty()) {
            // A late copy, often of a recent append.
            const auto age = static_cast<unsigned>(it.a * it.a * it.b * 4 + it.c);
            append(m_log[m_log.size() - 1 - age % m_log.size()]);
            return;
        }
        if (it.kind == 24 && it.c < 2) {
            ++m_incarnations[it.writer];
            m_sequences[it.writer] = 0;
            return;
        }
        if (it.kind == 24) {
            append(it.c == 2 ? "{\"v\":1" : R"({"v":3,"r":[]})");
            return;
        }
        const BatchHeader header{InstanceId("d" + std::to_string(it.writer)),
                                 Incarnation(m_incarnations[it.writer] + 1), Sequence(++m_sequences[it.writer]),
                                 m_now + std::chrono::seconds(it.writer * 30)};
        // A racing writer has not seen the last few appends.
        const auto &seen = it.c == 2 && !m_stale.empty() ? m_stale.front() : m_state;
        std::vector<std::string> records = {encodeRecord(recordFor(it, seen, m_now))};
        if (it.c == 1) {
            records.push_back(R"({"k":"from-the-future"})");
            records.push_back(encodeRecord(recordFor({(it.kind + 5) % 20, it.writer, it.b % 3, it.a, 0}, seen, m_now)));
        }
        auto data = encodeBatch(header, records);
        if (it.b == 4 && m_held.empty()) {
            m_held = std::move(data); // Comes in after the writer's next append.
            return;
        }
        append(std::move(data));
        if (!m_held.empty()) {
            append(std::exchange(m_held, {}));
        }
    }
    void append(std::string data)
    {
        m_log.push_back(std::move(data));
        m_stale.push_back(m_state);
        if (m_stale.size() > 3) {
            m_stale.erase(m_stale.begin());
        }
        (void)m_state.apply(Offset(m_log.size()), m_log.back());
    }

    std::vector<std::string> m_log;
    ControlState m_state;
    std::vector<ControlState> m_stale;
    std::map<int, std::uint64_t> m_incarnations;
    std::map<int, std::uint64_t> m_sequences;
    std::string m_held;
    WallTime m_now{std::chrono::hours(1000)};
};

/// Follows the accepted records of a history and fails if two of them can't
/// both have been accepted.
class Referee
{
public:
    void check(const AppliedBatch &applied, std::string_view data)
    {
        if (!applied.header || applied.firstOffset || applied.verdicts.empty()) {
            return;
        }
        const auto &header = *applied.header;
        const auto rejection = applied.verdicts.front().rejection;
        if (rejection == Rejection::StaleIncarnation || rejection == Rejection::StaleSequence) {
            return;
        }
        const auto id = header.writer.str() + "/" + std::to_string(header.incarnation.value()) + "/"
            + std::to_string(header.sequence.value());
        RC_ASSERT(m_appends.insert(id).second);
        RC_ASSERT(header.incarnation >= m_incarnations[header.writer]);
        m_incarnations[header.writer] = header.incarnation;
        m_stamps[header.writer] = std::max(m_stamps[header.writer], header.stamp);
        const auto batch = decodeBatch(data);
        RC_ASSERT(batch.ok());
        RC_ASSERT(batch->records.size() == applied.verdicts.size());
        for (std::size_t i = 0; i < batch->records.size(); ++i) {
            const auto &verdict = applied.verdicts[i];
            RC_ASSERT((verdict.position == RecordPosition{applied.offset, static_cast<std::uint32_t>(i)}));
            if (verdict.accepted()) {
                RC_ASSERT(batch->records[i].ok());
                std::visit([&](const auto &it) { accepted(it, header, verdict.position); }, *batch->records[i]);
            }
        }
    }
    /// The configuration in \a state is what the accepted publishes add up to.
    void checkObjects(const ControlState &state) const
    {
        RC_ASSERT(state.objects().size() == m_objects.size());
        for (const auto &[key, object] : m_objects) {
            RC_ASSERT(state.objects().at(key).version == object.first);
            RC_ASSERT(state.objects().at(key).spec == object.second);
        }
        RC_ASSERT(state.configuration()->services.size() == count(ObjectKind::Service));
        RC_ASSERT(state.configuration()->zones.size() == count(ObjectKind::Zone));
    }

private:
    std::size_t count(ObjectKind kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_objects.begin(), m_objects.end(), [&](const auto &it) { return it.first.kind == kind; }));
    }
    WallTime passed() const
    {
        std::vector<WallTime> stamps(2);
        for (const auto &[writer, stamp] : m_stamps) {
            stamps.push_back(stamp);
        }
        std::sort(stamps.rbegin(), stamps.rend());
        return stamps[1];
    }

    void accepted(const Publish &it, const BatchHeader & /*header*/, RecordPosition position)
    {
        for (const auto &change : it.changes) {
            const auto object = m_objects.find(change.object);
            RC_ASSERT(change.base == (object == m_objects.end() ? Offset() : object->second.first));
        }
        for (const auto &change : it.changes) {
            m_objects.erase(change.object);
            if (change.spec) {
                m_objects[change.object] = {position.offset, *change.spec};
            }
        }
    }
    void accepted(const RolloutStart &it, const BatchHeader & /*header*/, RecordPosition position)
    {
        RC_ASSERT(!m_activeRollouts.contains(it.service));
        RC_ASSERT(it.afterRollback || !m_takenBack.contains({it.service, it.toVersion}));
        RC_ASSERT(it.begin < it.due);
        m_takenBack.erase({it.service, it.toVersion});
        m_activeRollouts[it.service] = position;
    }
    void accepted(const RolloutAbort &it, const BatchHeader & /*header*/, RecordPosition /*position*/)
    {
        RC_ASSERT(m_activeRollouts.erase(it.service) == 1U);
    }
    void accepted(const RolloutRollback &it, const BatchHeader & /*header*/, RecordPosition /*position*/)
    {
        m_activeRollouts.erase(it.service);
        RC_ASSERT(m_takenBack.insert({it.service, it.version}).second);
    }
    void accepted(const RolloutDone &it, const BatchHeader & /*header*/, RecordPosition /*position*/)
    {
        RC_ASSERT(m_activeRollouts[it.service] == it.rollout);
        m_activeRollouts.erase(it.service);
    }
    void accepted(const EndpointOrder & /*it*/, const BatchHeader & /*header*/, RecordPosition position)
    {
        m_pendingOrders.insert(position);
    }
    void accepted(const EndpointOrderDone &it, const BatchHeader & /*header*/, RecordPosition /*position*/)
    {
        RC_ASSERT(m_pendingOrders.erase(it.order) == 1U); // Known, and done once.
    }
    void accepted(const LeaseAcquire &it, const BatchHeader &header, RecordPosition position)
    {
        const auto lease = m_leases.find(it.name);
        if (lease == m_leases.end()) {
            RC_ASSERT(it.previous == FencingNumber());
        } else {
            RC_ASSERT(it.previous == lease->second.fencing);
            RC_ASSERT(it.lastRenewal == lease->second.lastRenewal);
        }
        m_leases[it.name] = {header.writer, header.incarnation, FencingNumber(position.offset.value()), position.offset,
                             it.duration};
    }
    void accepted(const LeaseRenew &it, const BatchHeader &header, RecordPosition position)
    {
        auto &lease = m_leases.at(it.name);
        RC_ASSERT(lease.holder == header.writer && lease.incarnation == header.incarnation);
        RC_ASSERT(lease.fencing == it.fencing);
        lease.lastRenewal = position.offset;
    }
    void accepted(const LeaseRelease &it, const BatchHeader &header, RecordPosition /*position*/)
    {
        RC_ASSERT(m_leases.at(it.name).holder == header.writer);
        m_leases.erase(it.name);
    }
    void accepted(const Claim &it, const BatchHeader &header, RecordPosition position)
    {
        const ClaimKey key{it.workspace, it.key};
        if (const auto claim = m_claims.find(key); claim != m_claims.end()) {
            RC_ASSERT(claim->second.expiry + ClaimTable::kForgetMargin <= passed());
            RC_ASSERT(it.expiry > claim->second.expiry);
        }
        m_claims[key] = {position, header.writer, header.incarnation, it.bodyDigest, it.expiry, std::nullopt};
    }
    void accepted(const ClaimOutcome &it, const BatchHeader &header, RecordPosition /*position*/)
    {
        const auto claim = std::find_if(m_claims.begin(), m_claims.end(),
                                        [&](const auto &entry) { return entry.second.position == it.claim; });
        RC_ASSERT(claim != m_claims.end());
        RC_ASSERT(claim->second.holder == header.writer && claim->second.incarnation == header.incarnation);
        RC_ASSERT(!claim->second.answer);
        claim->second.answer = it.answer;
        if (!it.answer) {
            m_claims.erase(claim);
        }
    }
    template<typename T>
    void accepted(const T & /*it*/, const BatchHeader & /*header*/, RecordPosition /*position*/)
    {
    }

    std::set<std::string> m_appends;
    std::map<InstanceId, Incarnation> m_incarnations;
    std::map<InstanceId, WallTime> m_stamps;
    std::map<ObjectKey, std::pair<Offset, std::string>> m_objects;
    std::map<ServiceId, RecordPosition> m_activeRollouts;
    std::set<std::pair<ServiceId, VersionId>> m_takenBack;
    std::set<RecordPosition> m_pendingOrders;
    std::map<LeaseName, Lease> m_leases;
    std::map<ClaimKey, ClaimState> m_claims;
};

} // namespace mimosahub
