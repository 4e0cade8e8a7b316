// Converts field by field between typed structs and Cap'n Proto messages. The
// library checks bounds; check() verifies the rules that the types can't express.

#include "peer/peer_codec.h"

#include "mimosahub/error.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

constexpr std::size_t kMaxAgeBytes = 8192;
constexpr std::size_t kMaxEntries = 65536;

std::uint16_t narrow(std::uint32_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, UINT16_MAX));
}

std::string textOf(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

capnp::Data::Reader dataOf(const void *bytes, std::size_t n)
{
    return {static_cast<const kj::byte *>(bytes), n};
}

capnp::uint sizeOf(std::size_t n)
{
    return static_cast<capnp::uint>(n);
}

void writeSlotRequest(const SlotRequest &request, wire::SlotRequest::Builder out)
{
    out.setEpoch(request.epoch.value());
    out.setSequence(request.sequence.value());
    auto asks = out.initAsks(sizeOf(request.asks.size()));
    for (capnp::uint i = 0; i < asks.size(); ++i) {
        const auto &ask = request.asks[i];
        asks[i].setResource(static_cast<std::uint32_t>(ask.resource.value()));
        asks[i].setWanted(narrow(ask.wanted));
        asks[i].setHeld(narrow(ask.held));
        asks[i].setInUse(narrow(ask.inUse));
        asks[i].setCold(ask.cold);
    }
}

SlotRequest readSlotRequest(wire::SlotRequest::Reader in)
{
    SlotRequest request{Offset(in.getEpoch()), Sequence(in.getSequence()), {}};
    for (const auto ask : in.getAsks()) {
        request.asks.push_back(
            {ResourceKey(ask.getResource()), ask.getWanted(), ask.getHeld(), ask.getInUse(), ask.getCold()});
    }
    return request;
}

void writeSlotReply(const SlotReply &reply, wire::SlotReply::Builder out)
{
    out.setRequest(reply.request.value());
    out.setLeaseMs(static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(reply.lease).count()));
    auto grants = out.initGrants(sizeOf(reply.grants.size()));
    for (capnp::uint i = 0; i < grants.size(); ++i) {
        grants[i].setResource(static_cast<std::uint32_t>(reply.grants[i].resource.value()));
        grants[i].setSlots(narrow(reply.grants[i].slots));
    }
}

SlotReply readSlotReply(wire::SlotReply::Reader in)
{
    SlotReply reply{Sequence(in.getRequest()), std::chrono::milliseconds(in.getLeaseMs()), {}};
    for (const auto grant : in.getGrants()) {
        reply.grants.push_back({ResourceKey(grant.getResource()), grant.getSlots()});
    }
    return reply;
}

void writeOutcome(const DigestOutcome &outcome, wire::DigestOutcome::Builder out)
{
    const auto &counts = outcome.counts;
    out.setIndex(outcome.index);
    out.setOk(counts.ok);
    out.setFailed(counts.failed);
    out.setLatencySumMs(counts.latencySumMs);
    auto used = counts.latency.size();
    while (used > 0 && counts.latency.at(used - 1) == 0) {
        --used;
    }
    auto buckets = out.initLatency(sizeOf(used));
    for (capnp::uint i = 0; i < used; ++i) {
        buckets.set(i, counts.latency.at(i));
    }
}

DigestOutcome readOutcome(wire::DigestOutcome::Reader in)
{
    DigestOutcome outcome{in.getIndex(), {in.getOk(), in.getFailed(), in.getLatencySumMs(), {}}};
    const auto buckets = in.getLatency();
    for (capnp::uint i = 0; i < std::min<std::size_t>(buckets.size(), kLatencyBuckets); ++i) {
        outcome.counts.latency.at(i) = buckets[i];
    }
    return outcome;
}

void writeLoad(const LoadDigest &load, wire::LoadDigest::Builder out)
{
    auto names = out.initNames(sizeOf(load.names.size()));
    for (capnp::uint i = 0; i < names.size(); ++i) {
        const auto &name = load.names[i];
        names[i].setIndex(name.index);
        names[i].setUsage(name.usage);
        auto parts = names[i].initParts(sizeOf(name.parts.size()));
        for (capnp::uint j = 0; j < parts.size(); ++j) {
            parts.set(j, name.parts[j].c_str());
        }
    }
    auto outcomes = out.initOutcomes(sizeOf(load.outcomes.size()));
    for (capnp::uint i = 0; i < outcomes.size(); ++i) {
        writeOutcome(load.outcomes[i], outcomes[i]);
    }
    auto usage = out.initUsage(sizeOf(load.usage.size()));
    for (capnp::uint i = 0; i < usage.size(); ++i) {
        usage[i].setIndex(load.usage[i].index);
        usage[i].setInUse(narrow(load.usage[i].inUse));
        usage[i].setVersion(load.usage[i].version);
    }
}

LoadDigest readLoad(wire::LoadDigest::Reader in)
{
    LoadDigest load;
    for (const auto name : in.getNames()) {
        DigestName entry{name.getIndex(), name.getUsage(), {}};
        for (const auto part : name.getParts()) {
            entry.parts.push_back(textOf(part));
        }
        load.names.push_back(std::move(entry));
    }
    for (const auto outcome : in.getOutcomes()) {
        load.outcomes.push_back(readOutcome(outcome));
    }
    for (const auto usage : in.getUsage()) {
        load.usage.push_back({usage.getIndex(), usage.getInUse(), usage.getVersion()});
    }
    return load;
}

absl::Status check(wire::Heartbeat::Reader in)
{
    const auto asks = in.getSlotRequest().getAsks().size();
    const auto grants = in.getSlotReply().getGrants().size();
    const auto load = in.getLoad();
    const auto entries = load.getNames().size() + load.getOutcomes().size() + load.getUsage().size();
    if (in.getSender().size() == 0 || in.getIncarnation() == 0 || in.getSequence() == 0) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", "heartbeat without a sender");
    }
    if (in.getAgesAppliedSpread() > UINT64_MAX - in.getAgesAppliedLeast()) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", "heartbeat with an impossible offset");
    }
    if (in.getAges().size() > kMaxAgeBytes || std::max({asks, grants, entries}) > kMaxEntries) {
        return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", "heartbeat with too many entries");
    }
    return absl::OkStatus();
}

} // namespace

void writeHeartbeat(const Heartbeat &heartbeat, wire::Heartbeat::Builder out)
{
    out.setSender(heartbeat.sender.str().c_str());
    out.setIncarnation(heartbeat.incarnation.value());
    out.setSequence(heartbeat.sequence.value());
    out.setEcho(heartbeat.echo.value());
    out.setEchoIncarnation(heartbeat.echoIncarnation.value());
    out.setEpoch(heartbeat.epoch.value());
    out.setApplied(heartbeat.applied.value());
    out.setLeaving(heartbeat.leaving);
    out.setAges(dataOf(heartbeat.ages.data(), heartbeat.ages.size()));
    out.setAgesAppliedLeast(heartbeat.agesAppliedLeast.value());
    out.setAgesAppliedSpread(heartbeat.agesAppliedMost.value() - heartbeat.agesAppliedLeast.value());
    if (heartbeat.slotRequest) {
        writeSlotRequest(*heartbeat.slotRequest, out.initSlotRequest());
    }
    if (heartbeat.slotReply) {
        writeSlotReply(*heartbeat.slotReply, out.initSlotReply());
    }
    if (heartbeat.load != LoadDigest{}) {
        writeLoad(heartbeat.load, out.initLoad());
    }
}

absl::StatusOr<Heartbeat> readHeartbeat(wire::Heartbeat::Reader in)
{
    if (auto status = check(in); !status.ok()) {
        return status;
    }
    Heartbeat heartbeat;
    heartbeat.sender = InstanceId(textOf(in.getSender()));
    heartbeat.incarnation = Incarnation(in.getIncarnation());
    heartbeat.sequence = Sequence(in.getSequence());
    heartbeat.echo = Sequence(in.getEcho());
    heartbeat.echoIncarnation = Incarnation(in.getEchoIncarnation());
    heartbeat.epoch = Offset(in.getEpoch());
    heartbeat.applied = Offset(in.getApplied());
    heartbeat.leaving = in.getLeaving();
    const auto ages = in.getAges();
    heartbeat.ages.assign(ages.begin(), ages.end());
    heartbeat.agesAppliedLeast = Offset(in.getAgesAppliedLeast());
    heartbeat.agesAppliedMost = Offset(in.getAgesAppliedLeast() + in.getAgesAppliedSpread());
    if (in.hasSlotRequest()) {
        heartbeat.slotRequest = readSlotRequest(in.getSlotRequest());
    }
    if (in.hasSlotReply()) {
        heartbeat.slotReply = readSlotReply(in.getSlotReply());
    }
    heartbeat.load = readLoad(in.getLoad());
    return heartbeat;
}

void writeRecordRun(const RecordRun &run, wire::RecordRun::Builder out)
{
    out.setFirst(run.first.value());
    out.setHead(run.head.value());
    auto records = out.initRecords(sizeOf(run.records.size()));
    for (capnp::uint i = 0; i < records.size(); ++i) {
        records.set(i, dataOf(run.records[i].data(), run.records[i].size()));
    }
}

RecordRun readRecordRun(wire::RecordRun::Reader in)
{
    RecordRun run{Offset(in.getFirst()), {}, Offset(in.getHead())};
    for (const auto record : in.getRecords()) {
        run.records.emplace_back(reinterpret_cast<const char *>(record.begin()), record.size());
    }
    return run;
}

} // namespace mimosahub
