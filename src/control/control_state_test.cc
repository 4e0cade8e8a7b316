#include "control/control_testing.h"

#include <criterion/criterion.h>

using namespace mimosahub;

// Checked invariants: each append takes effect once, bases match, the
// configuration is the result of the accepted publishes, a service has at most
// one active rollout, rolled back versions stay so, an order is done once, and
// each lease and each claim has one holder.
Test(control_state, accepts_nothing_that_contradicts_what_it_accepted_before)
{
    cr_assert(rc::check([] {
        const HistoryBuilder history(*genHistory());
        ControlState state;
        InvariantChecker checker;
        for (std::size_t i = 0; i < history.log().size(); ++i) {
            const auto applied = state.apply(Offset(i + 1), history.log()[i]);
            RC_ASSERT(applied.ok());
            checker.check(*applied, history.log()[i]);
            checker.checkObjects(state);
        }
    }));
}

Test(control_state, states_agree_after_restarts_from_snapshots_and_repeated_delivery)
{
    cr_assert(rc::check([] {
        const HistoryBuilder history(*genHistory());
        const auto &log = history.log();
        const auto restarts =
            *rc::gen::container<std::set<std::size_t>>(rc::gen::inRange<std::size_t>(0, log.size() + 1));
        ControlState uninterrupted;
        ControlState restarted;
        for (std::size_t i = 0; i < log.size(); ++i) {
            if (restarts.contains(i)) {
                auto restored = ControlState::decode(restarted.encode());
                RC_ASSERT(restored.ok());
                RC_ASSERT(*restored == restarted);
                restarted = *std::move(restored);
                const auto again = restarted.apply(Offset(i), i > 0 ? log[i - 1] : "");
                RC_ASSERT(again.ok() && again->verdicts.empty());
                RC_ASSERT(!restarted.apply(Offset(i + 2), "").ok());
            }
            const auto a = uninterrupted.apply(Offset(i + 1), log[i]);
            const auto b = restarted.apply(Offset(i + 1), log[i]);
            RC_ASSERT(a.ok() && b.ok());
            RC_ASSERT((*a == *b));
        }
        RC_ASSERT((uninterrupted == restarted));
        RC_ASSERT((uninterrupted.encode() == restarted.encode()));
        RC_ASSERT(uninterrupted.configuration()->services.size() == restarted.configuration()->services.size());
    }));
}

Test(control_state, a_duplicated_append_changes_nothing)
{
    cr_assert(rc::check([] {
        const HistoryBuilder history(*genHistory());
        ControlState state;
        Offset offset;
        for (const auto &data : history.log()) {
            offset = offset.next();
            const auto first = state.apply(offset, data);
            const bool effective = first->header && !first->firstOffset;
            const auto before = state;
            offset = offset.next();
            const auto second = state.apply(offset, data);
            RC_ASSERT(state.objects() == before.objects());
            RC_ASSERT(state.leases() == before.leases());
            RC_ASSERT(state.zonesOut() == before.zonesOut());
            RC_ASSERT(state.endpointOrders() == before.endpointOrders());
            RC_ASSERT(state.rollouts() == before.rollouts());
            RC_ASSERT(state.claimCount() == before.claimCount());
            RC_ASSERT(state.members() == before.members());
            if (effective && first->verdicts.front().accepted()) {
                RC_ASSERT(second->firstOffset == std::optional(first->offset));
            }
        }
    }));
}

Test(control_state, the_first_of_two_concurrent_publishes_wins_and_the_rejection_names_its_operator)
{
    ControlState state;
    const auto append = [&](const char *writer, const Record &record) {
        const RecordBatch batch{{InstanceId(writer), Incarnation(1), Sequence(1), {}}, {record}};
        return state.apply(state.appliedOffset().next(), encodeBatch(batch))->verdicts.at(0);
    };
    const ObjectKey zone{ObjectKind::Zone, "east"};
    cr_assert(append("d1", Publish{"ada", {{zone, Offset(), R"({"region":"r1"})"}}}).accepted());
    cr_assert(append("d2", Publish{"bob", {{zone, Offset(1), R"({"region":"r2"})"}}}).accepted());
    const auto late = append("d3", Publish{"cyd", {{zone, Offset(1), R"({"region":"r3"})"}}});
    cr_assert(late.rejection == Rejection::StaleBase);
    cr_assert(late.message == "zone east was changed by bob at 2; the base is 1.", "%s", late.message.c_str());
    cr_assert(state.configuration()->zones.at(ZoneId("east")).region == RegionId("r2"));
    const auto invalid = append("d4", Publish{"cyd", {{zone, Offset(2), R"({"regoin":"r3"})"}}});
    cr_assert(invalid.rejection == Rejection::InvalidConfiguration && !invalid.problems.empty());
    cr_assert(append("d5", ZoneOrder{ZoneId("west"), true, "cyd"}).rejection == Rejection::UnknownZone);
}

// A single clock that is far ahead must not expire the claims of other daemons.
Test(control_state, one_wrong_clock_expires_no_claim)
{
    ControlState state;
    const auto append = [&](const char *writer, WallTime stamp, std::uint64_t sequence, const Record &record) {
        const RecordBatch batch{{InstanceId(writer), Incarnation(1), Sequence(sequence), stamp}, {record}};
        return state.apply(state.appliedOffset().next(), encodeBatch(batch))->verdicts.at(0);
    };
    const WallTime now(std::chrono::hours(1000));
    const Claim claim{WorkspaceId("w"), IdempotencyKey("k"), digestOfBody(1), now + std::chrono::minutes(1)};
    cr_assert(append("d1", now, 1, claim).accepted());
    append("d2", now + std::chrono::hours(9000), 1, MemberLeave{});
    cr_assert(append("d3", now, 1, claim).rejection == Rejection::ClaimTaken);
    append("d1", now + std::chrono::hours(1), 2, MemberLeave{});
    cr_assert(state.claimCount() == 0);
    cr_assert(append("d3", now, 2, claim).rejection == Rejection::ClaimExpired,
              "a call must not run again after its claim was removed");
}

// Bodies 1 and 2 have different digests with the same 64-bit form. Body 3 stands for a
// claim of format version 1, which recorded only that 64-bit form.
Test(control_state, a_key_reused_with_a_body_of_the_same_64_bit_digest_is_rejected_as_reused)
{
    const auto secondClaim = [](int first, int second) {
        ControlState state;
        const auto append = [&](std::uint64_t sequence, int body) {
            const WallTime now(std::chrono::hours(1));
            const Claim claim{WorkspaceId("w"), IdempotencyKey("k"), digestOfBody(body), now + std::chrono::minutes(1)};
            const RecordBatch batch{{InstanceId("d1"), Incarnation(1), Sequence(sequence), now}, {claim}};
            return state.apply(state.appliedOffset().next(), encodeBatch(batch))->verdicts.at(0);
        };
        cr_assert(append(1, first).accepted());
        state = *ControlState::decode(state.encode());
        return append(2, second).rejection;
    };
    cr_assert(secondClaim(1, 1) == Rejection::ClaimTaken);
    cr_assert(secondClaim(1, 2) == Rejection::KeyReused);
    // With only 64 bits to compare, a repeat must not be rejected as a reused key.
    cr_assert(secondClaim(3, 1) == Rejection::ClaimTaken);
    cr_assert(secondClaim(1, 3) == Rejection::ClaimTaken);
}
