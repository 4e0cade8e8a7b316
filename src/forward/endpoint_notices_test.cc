#include "forward/endpoint_notices.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

const TimePoint kStart(1h);
const EndpointStart kEndpoint{EndpointId("e"), 1000};

ListedEndpoint listed(const EndpointStart &start)
{
    ListedEndpoint endpoint;
    endpoint.info.id = start.endpoint;
    endpoint.startedAtMs = start.startedAtMs;
    return endpoint;
}

} // namespace

Test(endpoint_notices, the_entry_of_a_leaving_endpoint_is_marked_until_it_starts_anew)
{
    EndpointNotices notices;
    cr_expect(notices.recordLeaving(kEndpoint, kStart));
    cr_expect(not notices.recordLeaving(kEndpoint, kStart + 1s));
    std::vector<ListedEndpoint> endpoints = {listed(kEndpoint), listed({kEndpoint.endpoint, 1001}),
                                             listed({EndpointId("f"), 1000})};
    notices.markLeaving(endpoints);
    cr_expect(endpoints[0].info.leaving);
    cr_expect(not endpoints[1].info.leaving);
    cr_expect(not endpoints[2].info.leaving);
}

Test(endpoint_notices, leaving_endpoints_are_remembered_within_a_bound)
{
    EndpointNoticesOptions options;
    options.maxLeaving = 10;
    EndpointNotices notices(options);
    for (int n = 0; n < 100; ++n) {
        notices.recordLeaving({EndpointId("e" + std::to_string(n)), 1}, kStart + n * 1s);
    }
    cr_expect(not notices.isLeaving({EndpointId("e89"), 1}));
    cr_expect(notices.isLeaving({EndpointId("e90"), 1}));
}

// Never sooner than the endpoint wants, and not all daemons at once.
Test(endpoint_notices, daemons_come_back_from_a_rest_in_a_spread)
{
    TimePoint first = TimePoint::max();
    TimePoint last;
    for (std::uint64_t daemon = 0; daemon < 300; ++daemon) {
        EndpointNotices notices;
        Random random(daemon);
        const auto until = notices.recordRest(kEndpoint, 10s, kStart, random);
        first = std::min(first, until);
        last = std::max(last, until);
    }
    cr_expect(first >= kStart + 10s);
    cr_expect(last <= kStart + 12s);
    cr_expect(last - first > 1500ms);
}

Test(endpoint_notices, the_longest_rest_holds_and_ends)
{
    EndpointNotices notices;
    Random random(1);
    const auto until = notices.recordRest(kEndpoint, 10s, kStart, random);
    cr_expect(notices.recordRest(kEndpoint, 1s, kStart + 1s, random) == until);
    cr_expect_eq(notices.rests(kStart + 10s).size(), 1);
    cr_expect(notices.rests(until).empty());
}
