#pragma once

#include "forward/duty_report.h"
#include "wire/stage.capnp.h"

/// Converts the reports for the duties of the deployment.
namespace mimosahub
{

void writeDutyReport(const DutyReport &report, wire::DutyReport::Builder out);
[[nodiscard]] DutyReport readDutyReport(wire::DutyReport::Reader in);

} // namespace mimosahub
