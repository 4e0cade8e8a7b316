#include "peer/duty_codec.h"

#include "peer/wire_values.h"

namespace mimosahub
{

void writeDutyReport(const DutyReport &report, wire::DutyReport::Builder out)
{
    out.setSource(report.source.str());
    out.setZone(report.zone.str());
    out.setIncarnation(report.incarnation);
    out.setSummed(report.summed);
    out.setToken(report.token);
    auto windows = out.initWindows(static_cast<unsigned>(report.windows.size()));
    unsigned w = 0;
    for (const auto &[number, counts] : report.windows) {
        auto window = windows[w++];
        window.setWindow(number);
        auto list = window.initCounts(static_cast<unsigned>(counts.size()));
        unsigned c = 0;
        for (const auto &[workspace, count] : counts) {
            list[c].setWorkspace(workspace.str());
            list[c++].setCount(count);
        }
    }
    auto loads = out.initLoads(static_cast<unsigned>(report.loads.size()));
    unsigned l = 0;
    for (const auto &[place, inFlight] : report.loads) {
        loads[l].setService(place.first.str());
        loads[l].setZone(place.second.str());
        loads[l++].setInFlight(inFlight);
    }
}

DutyReport readDutyReport(wire::DutyReport::Reader in)
{
    DutyReport report;
    report.source = readId<InstanceId>(in.getSource());
    report.zone = readId<ZoneId>(in.getZone());
    report.incarnation = in.getIncarnation();
    report.summed = in.getSummed();
    report.token = in.getToken();
    for (const auto window : in.getWindows()) {
        auto &counts = report.windows[window.getWindow()];
        for (const auto count : window.getCounts()) {
            counts[readId<WorkspaceId>(count.getWorkspace())] = count.getCount();
        }
    }
    for (const auto load : in.getLoads()) {
        report.loads[{readId<ServiceId>(load.getService()), readId<ZoneId>(load.getZone())}] = load.getInFlight();
    }
    return report;
}

} // namespace mimosahub
