#include "peer/peer_codec.h"

#include <rapidcheck.h>

#include <capnp/message.h>
#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

Heartbeat genHeartbeat()
{
    const auto number = []() { return *rc::gen::arbitrary<std::uint32_t>(); };
    const auto small = []() { return *rc::gen::arbitrary<std::uint16_t>(); };
    Heartbeat heartbeat;
    heartbeat.sender = InstanceId(*rc::gen::nonEmpty(rc::gen::string<std::string>()));
    heartbeat.incarnation = Incarnation(std::uint64_t(number()) + 1);
    heartbeat.sequence = Sequence(std::uint64_t(number()) + 1);
    heartbeat.echo = Sequence(number());
    heartbeat.epoch = Offset(number());
    heartbeat.applied = Offset(number());
    heartbeat.leaving = *rc::gen::arbitrary<bool>();
    heartbeat.ages = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    heartbeat.agesAppliedLeast = Offset(number());
    heartbeat.agesAppliedMost = Offset(heartbeat.agesAppliedLeast.value() + number());
    if (*rc::gen::arbitrary<bool>()) {
        heartbeat.slotRequest = SlotRequest{Offset(number()), Sequence(number()), {}};
        heartbeat.slotRequest->asks.push_back({ResourceKey(number()), small(), small(), small(), true});
        heartbeat.slotReply = SlotReply{Sequence(number()), std::chrono::milliseconds(number()), {}};
        heartbeat.slotReply->grants.push_back({ResourceKey(number()), small()});
    }
    if (*rc::gen::arbitrary<bool>()) {
        heartbeat.load.names.push_back({small(), true, *rc::gen::arbitrary<std::vector<std::string>>()});
        heartbeat.load.outcomes.push_back({small(), {number(), number(), number(), {}}});
        heartbeat.load.outcomes[0].counts.latency[*rc::gen::inRange<std::size_t>(0, kLatencyBuckets)] = number();
        heartbeat.load.usage.push_back({small(), small(), number()});
    }
    return heartbeat;
}

} // namespace

Test(peer_codec, heartbeat_is_unchanged_after_encoding_and_decoding)
{
    cr_assert(rc::check([]() {
        const auto heartbeat = genHeartbeat();
        capnp::MallocMessageBuilder message;
        writeHeartbeat(heartbeat, message.initRoot<wire::Heartbeat>());
        const auto read = readHeartbeat(message.getRoot<wire::Heartbeat>().asReader());
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == heartbeat);
    }));
}

Test(peer_codec, rejects_an_invalid_heartbeat)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Heartbeat>();
    cr_assert(!readHeartbeat(root.asReader()).ok());
    root.setSender("d1");
    root.setIncarnation(1);
    root.setSequence(1);
    cr_assert(readHeartbeat(root.asReader()).ok());
    root.setAgesAppliedLeast(2);
    root.setAgesAppliedSpread(UINT64_MAX); // The sum of both would overflow.
    cr_assert(!readHeartbeat(root.asReader()).ok());
}
