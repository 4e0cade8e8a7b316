#include "follow/document_watch.h"

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr TimePoint kStart{};
constexpr StoreOffset kNext(7);
constexpr DocumentWatchOptions kOptions{1500ms, 500ms, 20s, 750ms};

} // namespace

Test(document_watch, a_daemon_that_hears_from_no_other_one_waits_for_less_than_the_bound)
{
    DocumentWatch watch(kOptions);
    cr_assert(watch.beginRead(kNext, false, kStart) == 1500ms);
    cr_assert(!watch.isLost(kNext, kStart + 10s));
}

// Many daemons that each read the documents every second or two cost the store most of its calls.
Test(document_watch, a_confirmed_daemon_waits_long_and_a_relay_briefly)
{
    DocumentWatch watch(kOptions);
    watch.recordPeer(kNext, kStart);
    cr_assert(watch.beginRead(kNext, false, kStart + 700ms) == 20s);
    cr_assert(watch.beginRead(kNext, true, kStart) == 500ms);
    cr_assert(watch.beginRead(kNext, false, kStart + 800ms) == 1500ms);
    cr_assert(watch.beginRead(kNext.next(), false, kStart) == 1500ms);
}

// A read that the store missed kept an old configuration in force until its wait was over.
Test(document_watch, a_read_is_lost_if_another_daemon_knows_more_twice)
{
    DocumentWatch watch(kOptions);
    watch.recordPeer(kNext, kStart);
    static_cast<void>(watch.beginRead(kNext, false, kStart));
    watch.recordPeer(kNext.next(), kStart + 500ms);
    cr_assert(!watch.isLost(kNext, kStart + 500ms));
    watch.recordPeer(kNext.next(), kStart + 1s);
    cr_assert(watch.isLost(kNext, kStart + 1s));
    cr_assert(!watch.isLost(kNext, kStart + 1s));
}

// The daemon that is asked may die or be cut off during a long wait.
Test(document_watch, a_long_wait_ends_once_nobody_confirms_it)
{
    DocumentWatch watch(kOptions);
    watch.recordPeer(kNext, kStart);
    static_cast<void>(watch.beginRead(kNext, false, kStart));
    cr_assert(!watch.isLost(kNext, kStart + 750ms));
    cr_assert(watch.isLost(kNext, kStart + 760ms));
    cr_assert(!watch.isLost(kNext, kStart + 5s));
}

Test(document_watch, a_daemon_that_lags_confirms_nothing)
{
    DocumentWatch watch(kOptions);
    watch.recordPeer(kNext.next(), kStart);
    static_cast<void>(watch.beginRead(kNext.next(), false, kStart));
    watch.recordPeer(kNext, kStart + 100ms);
    cr_assert(!watch.isLost(kNext.next(), kStart + 100ms));
    watch.recordPeer(kNext, kStart + 200ms);
    cr_assert(watch.isLost(kNext.next(), kStart + 200ms));
    cr_assert(watch.beginRead(kNext.next(), false, kStart + 200ms) == 1500ms);
}
