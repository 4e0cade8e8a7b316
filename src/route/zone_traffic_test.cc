#include "route/endpoint_table.h"
#include "route/zone_traffic.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;
using namespace std::chrono_literals;

namespace
{

constexpr Duration kRamp = 20s;

const Chart &zoneChart()
{
    std::vector<Problem> problems;
    static const auto chart = Chart::load("charts/zone.json", zoneVocabulary(), problems);
    cr_assert(chart.ok());
    return *chart;
}

} // namespace

// Compares with a simple model that records the last order and its time.
Test(zone_traffic, follows_the_last_order)
{
    cr_assert(rc::check([] {
        ZoneTraffic traffic(zoneChart());
        const ZoneId zone("a");
        TimePoint now(1h);
        bool out = false;
        std::optional<TimePoint> back;
        traffic.applyOrder(zone, false, now);
        for (const int event : *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 8))) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 8'000));
            if (event < 2) {
                const bool order = event == 0;
                if (out && !order) {
                    back = now;
                }
                out = order;
                traffic.applyOrder(zone, out, now);
            } else if (event == 2) {
                traffic.inFlight(zone, *rc::gen::inRange(0, 3), now);
            } else {
                traffic.tick(kRamp, now);
            }
            const double passed = back ? std::chrono::duration<double>(now - *back) / kRamp : 1.0;
            const double expected = out ? 0.0 : std::clamp(passed, 0.05, 1.0);
            RC_ASSERT(std::abs(traffic.factor(zone, kRamp, now) - expected) < 1e-9);
        }
    }));
}

Test(zone_traffic, capacity_excludes_zones_that_are_out)
{
    const ServiceId service("encode");
    std::vector<EndpointRow> rows;
    for (const char *zone : {"a", "b", "c"}) {
        EndpointRow row;
        row.info = {EndpointId(std::string("e") + zone), service, ZoneId(zone), VersionId("v1"), {}, false};
        row.state = EndpointState::Warm;
        row.limit = 16;
        row.allowed = 4;
        rows.push_back(row);
    }
    cr_expect(EndpointTable(rows).capacity(service) == 48);
    rows[0].zoneFactor = 0.0;
    rows[1].zoneFactor = 0.5;
    cr_expect(EndpointTable(rows).capacity(service) == 24);
    rows[2].state = EndpointState::Failing;
    cr_expect(EndpointTable(rows).capacity(service) == 8);
}
