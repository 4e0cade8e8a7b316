#include "forward/daemon_directory.h"

#include <rapidcheck.h>

#include <set>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

DaemonEntry daemonNamed(const std::string &name, double capacity = 1.0, bool leaving = false)
{
    return {InstanceId(name), ZoneId("z"), {"10.0.0.1", 1}, 1, capacity, leaving};
}

std::vector<DaemonEntry> daemons(int count)
{
    std::vector<DaemonEntry> entries;
    entries.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        entries.push_back(daemonNamed("d" + std::to_string(i)));
    }
    return entries;
}

} // namespace

Test(daemon_directory, all_daemons_agree_on_the_owner)
{
    cr_assert(rc::check([] {
        const auto entries = daemons(*rc::gen::inRange(1, 12));
        const auto key = std::to_string(*rc::gen::arbitrary<int>());
        std::optional<InstanceId> owner;
        for (const auto &entry : entries) {
            DaemonDirectory directory(entry.id, {});
            directory.setDaemons(entries);
            RC_ASSERT(!owner || *owner == directory.ownerOf(key));
            owner = directory.ownerOf(key);
        }
    }));
}

Test(daemon_directory, keys_are_spread_by_capacity)
{
    DaemonDirectory directory(InstanceId("small"), {});
    directory.setDaemons({daemonNamed("small", 0.2), daemonNamed("large", 0.3)});
    int large = 0;
    for (int i = 0; i < 2000; ++i) {
        large += directory.ownerOf("key" + std::to_string(i)) == InstanceId("large") ? 1 : 0;
    }
    cr_assert(large > 1100 && large < 1300, "%d", large);
}

// The owner of a service's key runs its planner. Of seventy daemons, six have four times
// the CPU of the others. A planner needs as much CPU wherever it runs, so only daemons
// with at least minCapacityShare of the largest capacity, here the six, own keys.
Test(daemon_directory, small_instances_plan_only_if_no_large_one_responds)
{
    auto entries = daemons(70);
    for (std::size_t n = 0; n < entries.size(); ++n) {
        entries[n].capacity = n < 6 ? 0.5 : 0.12;
    }
    DaemonDirectory directory(entries[30].id, {});
    directory.setDaemons(entries);
    const auto ownersOver = [&](int keys) {
        std::set<InstanceId> owners;
        for (int i = 0; i < keys; ++i) {
            owners.insert(directory.ownerOf("key" + std::to_string(i)));
        }
        return owners;
    };
    auto owners = ownersOver(200);
    cr_assert_eq(owners.size(), 6);
    for (std::size_t n = 0; n < 6; ++n) {
        cr_assert(owners.contains(entries[n].id));
        directory.recordFailure(entries[n].id, TimePoint(1h));
    }
    owners = ownersOver(2000);
    cr_assert_eq(owners.size(), 64); // Suspected daemons own no keys.
    directory.recordResponse(entries[0].id, TimePoint(1h));
    cr_assert(ownersOver(200) == std::set<InstanceId>{entries[0].id});
}

Test(daemon_directory, a_daemon_that_leaves_plans_only_if_all_leave)
{
    DaemonDirectory directory(InstanceId("a"), {});
    directory.setDaemons({daemonNamed("a", 1.0, true), daemonNamed("b"), daemonNamed("c", 1.0, true)});
    for (int i = 0; i < 50; ++i) {
        cr_assert(directory.ownerOf(std::to_string(i)) == InstanceId("b"));
    }
    directory.setDaemons({daemonNamed("a", 1.0, true), daemonNamed("b", 1.0, true), daemonNamed("c", 1.0, true)});
    std::set<InstanceId> owners;
    for (int i = 0; i < 50; ++i) {
        owners.insert(directory.ownerOf(std::to_string(i)));
    }
    cr_assert_eq(owners.size(), 3);
}

Test(daemon_directory, a_daemon_that_does_not_respond_to_work_loses_its_keys)
{
    const DaemonDirectoryOptions options;
    DaemonDirectory directory(InstanceId("d0"), options);
    directory.setDaemons(daemons(3));
    std::string key = "k";
    while (directory.ownerOf(key) == InstanceId("d0")) {
        key += "k";
    }
    const auto owner = directory.ownerOf(key);
    const TimePoint now(1h);
    cr_assert(!directory.needsMonitoring());
    directory.workStarted(owner, now);
    cr_assert(directory.needsMonitoring());
    cr_assert(directory.takePings(now + options.pingInterval) == std::vector<InstanceId>{owner});
    cr_assert(directory.takeUnresponsive(now + options.suspicionTimeout - 1ms).empty());
    cr_assert(directory.takeUnresponsive(now + options.suspicionTimeout) == std::vector<InstanceId>{owner});
    cr_assert(directory.ownerOf(key) != owner);
    directory.workEnded(owner);
    cr_assert(directory.takePings(now + options.suspicionTimeout + options.firstRetryDelay)
              == std::vector<InstanceId>{owner});
    directory.recordResponse(owner, now + 2s);
    cr_assert(directory.ownerOf(key) == owner);
    cr_assert(!directory.needsMonitoring());
}

// A daemon that was idle for long must not be suspected as soon as it gets work.
Test(daemon_directory, the_suspicion_timeout_starts_with_the_first_work)
{
    DaemonDirectory directory(InstanceId("d0"), {});
    directory.setDaemons(daemons(2));
    directory.recordResponse(InstanceId("d1"), TimePoint(1h));
    directory.workStarted(InstanceId("d1"), TimePoint(2h));
    cr_assert(directory.takeUnresponsive(TimePoint(2h) + 100ms).empty());
}

Test(daemon_directory, a_restarted_daemon_is_no_longer_suspected)
{
    DaemonDirectory directory(InstanceId("d0"), {});
    auto entries = daemons(2);
    directory.setDaemons(entries);
    directory.recordFailure(InstanceId("d1"), TimePoint(1h));
    cr_assert(directory.ownerOf("any") == InstanceId("d0"));
    entries[1].incarnation = 2;
    directory.setDaemons(entries);
    std::set<InstanceId> owners;
    for (int i = 0; i < 50; ++i) {
        owners.insert(directory.ownerOf(std::to_string(i)));
    }
    cr_assert_eq(owners.size(), 2);
}

Test(daemon_directory, a_daemon_that_reports_leaving_is_skipped_until_its_entry_says_otherwise)
{
    DaemonDirectory directory(InstanceId("a"), {});
    const std::vector<DaemonEntry> entries = {daemonNamed("a", 0.4), daemonNamed("b", 1.0)};
    directory.setDaemons(entries);
    // Only b has at least minCapacityShare of the largest capacity.
    cr_assert(directory.ownerOf("key") == InstanceId("b"));
    directory.recordLeaving(InstanceId("b"));
    cr_assert(directory.ownerOf("key") == InstanceId("a"));
    directory.setDaemons(entries);
    cr_assert(directory.ownerOf("key") == InstanceId("b"));
}
