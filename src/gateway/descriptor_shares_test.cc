#include "gateway/descriptor_shares.h"

#include <criterion/criterion.h>

using namespace mimosahub;

// With a limit of 4096 connections whatever the process may open, callers took the descriptors
// that their requests needed at the endpoints.
Test(descriptor_shares, callers_leave_a_descriptor_for_each_of_their_requests)
{
    for (const int descriptors : {256, 1024, 3075, 4096, 4100, 10'250, 10'000'000}) {
        const auto shares = DescriptorShares::of(descriptors);
        cr_assert(shares.callers > 0 && shares.idleToEndpoints > 0 && shares.peers > 0);
        const auto sockets = static_cast<std::size_t>(descriptors > 300 ? descriptors - 200 : descriptors / 4);
        cr_assert_leq(2 * shares.callers, sockets, "%d", descriptors);
        cr_assert_leq(shares.callers + shares.idleToEndpoints + shares.peers, sockets * 3 / 4, "%d", descriptors);
    }
    cr_assert_geq(DescriptorShares::of(3075).peers, std::size_t(350));
}
