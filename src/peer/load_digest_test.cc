#include "peer/load_digest.h"

#include <rapidcheck.h>

#include <algorithm>
#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

OutcomeKey outcomeKey(int i)
{
    return {ServiceId("s" + std::to_string(i % 3)), VersionId("v" + std::to_string(i % 2)), "route"};
}

UsageKey usageKey(int i)
{
    return {ServiceId("s" + std::to_string(i % 3)), WorkspaceId("w" + std::to_string(i % 4))};
}

/// A sender whose messages may be lost, duplicated and delayed, and the expected result.
struct Link {
    LoadDigestSender sender;
    LoadDigestMerger merger;
    std::map<OutcomeKey, OutcomeCounts> ended; ///< Merged outcomes of earlier incarnations.
    std::map<UsageKey, std::uint32_t> usage;
    std::vector<LoadDigest> sentDigests;
    std::uint64_t incarnation = 1;
    Sequence sequence;

    void exchange(bool lost, bool acknowledged)
    {
        sequence = sequence.next();
        const auto digest = sender.digestFor(InstanceId("peer"), Incarnation(1), sequence);
        RC_ASSERT(digest.outcomes.size() + digest.usage.size() <= LoadDigestOptions().entriesPerMessage);
        sentDigests.push_back(digest);
        if (!lost) {
            merger.merge(InstanceId("self"), Incarnation(incarnation), digest);
            if (acknowledged) {
                sender.acknowledged(InstanceId("peer"), Incarnation(1), sequence);
            }
        }
    }

    void restart()
    {
        ended = merger.outcomes();
        sender = LoadDigestSender();
        usage.clear();
        sentDigests.clear();
        ++incarnation;
    }
};

void applyAction(Link &link, int action, int i)
{
    switch (action) {
    case 0:
    case 1:
        link.sender.addOutcome(outcomeKey(i), i % 5 != 0, std::chrono::milliseconds(i));
        break;
    case 2:
        link.usage[usageKey(i)] = static_cast<std::uint32_t>(i);
        link.sender.setInUse(usageKey(i), static_cast<std::uint32_t>(i));
        break;
    case 3:
        link.exchange(i % 3 == 0, i % 3 == 1);
        break;
    case 4:
        if (!link.sentDigests.empty()) {
            const auto &digest = link.sentDigests[static_cast<std::size_t>(i) % link.sentDigests.size()];
            link.merger.merge(InstanceId("self"), Incarnation(link.incarnation), digest);
        }
        break;
    default:
        if (i % 10 == 0) {
            link.restart();
        }
    }
}

} // namespace

Test(load_digest, counts_arrive_once_despite_lost_duplicated_and_delayed_messages)
{
    cr_assert(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &actions) {
        Link link;
        for (const auto &[action, i] : actions) {
            applyAction(link, action % 6, i);
        }
        for (int i = 0; i < 10; ++i) {
            link.exchange(false, true);
        }
        auto expected = link.ended;
        for (const auto &[key, counts] : link.sender.outcomes()) {
            expected[key] += counts;
        }
        RC_ASSERT(link.merger.outcomes() == expected);
        RC_ASSERT(link.merger.usage() == link.usage);
        const auto idle = link.sender.digestFor(InstanceId("peer"), Incarnation(1), link.sequence.next());
        RC_ASSERT(idle == LoadDigest{});
    }));
}

// The peer's counts of the two versions of a route equal the sender's counts at the
// moment when it created one message.
Test(load_digest, counts_of_the_versions_of_a_route_arrive_together)
{
    cr_assert(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &actions) {
        using Counts = std::map<OutcomeKey, OutcomeCounts>;
        const auto pairOf = [](const Counts &counts, int service) {
            const auto of = [&](int version) {
                const auto it = counts.find({outcomeKey(service).service, outcomeKey(version).version, "route"});
                return it == counts.end() ? std::uint64_t(0) : it->second.ok;
            };
            return std::pair(of(0), of(1));
        };
        Link link;
        std::vector<Counts> snapshots{Counts()};
        for (const auto &[action, i] : actions) {
            applyAction(link, action % 3, i);
            if (action % 2 == 0) {
                snapshots.push_back(link.sender.outcomes());
                link.exchange(i % 3 == 0, i % 3 == 1);
            }
            for (int service = 0; service < 3; ++service) {
                const auto has = pairOf(link.merger.outcomes(), service);
                RC_ASSERT(std::any_of(snapshots.begin(), snapshots.end(),
                                      [&](const Counts &counts) { return pairOf(counts, service) == has; }));
            }
        }
    }));
}
