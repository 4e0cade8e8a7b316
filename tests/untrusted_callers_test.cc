// The same clients as in untrusted_clients_test, at the ports of the product's own interface: a daemon with little
// memory lives, stays within its bounds, and answers an ordinary request while they are connected.

#include "tests/support/body_loads.h"
#include "tests/support/load_bounds.h"
#include "tests/support/sample.h"
#include "tests/support/testbed.h"

#include <boost/json.hpp>

#include <criterion/criterion.h>

using namespace mimosahub::testing;

namespace
{

constexpr int kMemoryMb = 64; ///< The daemon's limit, by its settings.
constexpr LoadBounds kBounds{.memory = std::size_t(kMemoryMb) << 20U};
constexpr std::size_t kMaxBody = std::size_t(4) << 20U; ///< By the settings' default.
constexpr std::size_t kBlock = std::size_t(64) << 10U;
constexpr std::size_t kMebibyte = std::size_t(1) << 20U;
constexpr int kClients = 48; ///< Whose bodies together are three times the daemon's memory.
constexpr int kManyClients = 300;

BodyLoads bookings()
{
    return {
        "POST /v1/services/desk/book HTTP/1.1\r\nHost: x\r\nMimosahub-Workspace: shops\r\nIdempotency-Key: {id}\r\n",
        kMaxBody};
}

BodyLoads bodiesOf(const std::string &target, std::size_t bytes)
{
    return {"POST " + target + " HTTP/1.1\r\nHost: x\r\nMimosahub-Workspace: shops\r\n", bytes};
}

/// A daemon with little memory and the endpoints of the sample.
class SmallDaemon
{
public:
    SmallDaemon()
    {
        m_testbed.startEndpoints(sampleEndpoints("z1"));
        m_daemon = &m_testbed.startDaemon("d1", "z1", {{"limits", {{"memory_mb", kMemoryMb}}}});
        m_testbed.waitReady(*m_daemon);
        m_testbed.publish(sampleDeployment());
        expectServing();
    }

    [[nodiscard]] const DaemonProcess &process() const
    {
        return *m_daemon;
    }
    void expectBounded(const ClientBytes &bytes, int count = kClients)
    {
        expectBounded(bytes, {.port = m_daemon->callers, .count = count});
    }
    void expectBounded(const ClientBytes &bytes, const ClientLoadOptions &options)
    {
        mimosahub::testing::expectBounded(*m_daemon->process, bytes, options, kBounds, [this] { expectServing(); });
    }
    void expectServing()
    {
        HttpReply reply;
        const bool served = eventually([&] {
            reply = post(m_daemon->callers, "/v1/services/desk/stock", boost::json::object{}, shopsHeader());
            return reply.status == 200 && reply.whole;
        });
        cr_expect(served, "%d: %s", reply.status, reply.body.c_str());
    }

private:
    Testbed m_testbed;
    DaemonProcess *m_daemon = nullptr;
};

} // namespace

Test(untrusted_callers, announced_bodies_over_the_limit_are_not_read)
{
    SmallDaemon().expectBounded(bookings().announcedOverLimit());
}

Test(untrusted_callers, unannounced_bodies_over_the_limit_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().unannouncedOverLimit());
}

Test(untrusted_callers, many_whole_bodies_at_once_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().whole());
}

Test(untrusted_callers, large_bodies_short_of_their_end_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().shortOfEnd());
}

Test(untrusted_callers, bodies_in_small_pieces_short_of_their_end_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().smallPieces());
}

Test(untrusted_callers, large_chunks_short_of_their_end_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().largeChunks());
}

Test(untrusted_callers, small_chunks_short_of_their_end_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().smallChunks());
}

Test(untrusted_callers, extensions_and_trailers_short_of_their_end_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().extensionsAndTrailers());
}

Test(untrusted_callers, many_bodies_of_a_mebibyte_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bodiesOf("/v1/services/desk/stock", kMebibyte).shortOfEnd(), kManyClients);
}

// A JSON document of small numbers takes many times the bytes of its text.
Test(untrusted_callers, documents_that_grow_when_parsed_do_not_fill_the_memory)
{
    const std::string begin = "{\"a\":[";
    const std::string end = "0]}";
    std::string numbers;
    while (numbers.size() < kBlock) {
        numbers += "0,";
    }
    const auto times = kMaxBody / numbers.size() - 1;
    const auto head = bookings().headOfLength(begin.size() + times * numbers.size() + end.size());
    SmallDaemon().expectBounded({head + begin, numbers, times, end});
}

Test(untrusted_callers, pipelined_requests_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().pipelined(), 2 * kManyClients);
}

Test(untrusted_callers, unfinished_headers_do_not_fill_the_memory)
{
    SmallDaemon().expectBounded(bookings().unfinishedHeader(), 4 * kManyClients);
}

Test(untrusted_callers, bodies_at_the_operators_port_do_not_fill_the_memory)
{
    SmallDaemon small;
    small.expectBounded(bodiesOf("/v1/changes", kMebibyte).shortOfEnd(),
                        {.port = small.process().operators, .count = kManyClients});
    cr_expect(get(small.process().operators, "/readyz").status == 200);
}

Test(untrusted_callers, messages_at_the_peers_port_do_not_fill_the_memory)
{
    const std::string length{'\0', '\0', '\x10', '\0'}; // 1 MiB.
    SmallDaemon small;
    small.expectBounded({length, std::string(kBlock, 'x'), kMebibyte / kBlock - 1, std::string(kBlock - 1, 'x')},
                        {.port = small.process().peers, .count = kManyClients});
}

// A limit on all bodies together must not refuse one that is legal by itself.
Test(untrusted_callers, one_body_of_the_largest_legal_size_is_served)
{
    SmallDaemon small;
    for (int i = 0; i < 2; ++i) {
        HttpCall call;
        call.port = small.process().callers;
        call.method = "POST";
        call.target = "/v1/services/desk/stock";
        call.body = "{\"note\":\"" + std::string(kMaxBody - 11, 'x') + "\"}";
        call.headers = shopsHeader();
        const auto reply = perform(call);
        cr_expect(reply.status == 200 && reply.whole, "%d: %s", reply.status, reply.body.substr(0, 200).c_str());
    }
    cr_expect(peakResident(small.process().process->pid()) < kBounds.memory);
}
