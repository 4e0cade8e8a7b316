#include "forward/endpoint_directory.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr Duration kGrace = 1700ms;

ListedEndpoint endpoint(const std::string &id, bool leaving = false)
{
    ListedEndpoint it;
    it.info.id = EndpointId(id);
    it.info.leaving = leaving;
    return it;
}

} // namespace

Test(endpoint_directory, drops_entries_that_the_store_removes)
{
    EndpointDirectory directory(kGrace);
    directory.put(endpoint("a"));
    directory.remove(EndpointId("a"), TimePoint(1h));
    cr_assert(directory.list().empty());
}

// An entry lapses when its registration expires in the store, as it may during an outage.
Test(endpoint_directory, keeps_a_lapsed_entry_for_a_grace_period_after_an_outage)
{
    EndpointDirectory directory(kGrace);
    const TimePoint back(1h);
    directory.put(endpoint("a"));
    directory.put(endpoint("b"));
    directory.storeReturned(back);
    directory.remove(EndpointId("a"), back + 10ms);
    directory.remove(EndpointId("b"), back + 10ms);
    cr_assert_eq(directory.list().size(), 2);
    directory.put(endpoint("b")); // It is running and lists itself again.
    cr_assert(!directory.expire(back + kGrace - 1ms));
    cr_assert(*directory.nextExpiry() == back + kGrace);
    cr_assert(directory.expire(back + kGrace));
    cr_assert_eq(directory.list().size(), 1);
    cr_assert_not_null(directory.find(EndpointId("b")));
}

Test(endpoint_directory, a_leaving_endpoint_gets_no_grace_period)
{
    EndpointDirectory directory(kGrace);
    directory.put(endpoint("a", true));
    directory.storeReturned(TimePoint(1h));
    directory.remove(EndpointId("a"), TimePoint(1h));
    cr_assert(directory.list().empty());
}

Test(endpoint_directory, a_lapse_long_after_an_outage_removes_the_entry)
{
    EndpointDirectory directory(kGrace);
    directory.put(endpoint("a"));
    directory.storeReturned(TimePoint(1h));
    directory.remove(EndpointId("a"), TimePoint(1h) + 5s);
    cr_assert(directory.list().empty());
}
