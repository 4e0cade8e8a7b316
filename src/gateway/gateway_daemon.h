#pragma once

#include "gateway/call_protocol.h"
#include "gateway/document_reader.h"
#include "gateway/duty_calls.h"
#include "gateway/gateway_control.h"
#include "gateway/gateway_settings.h"

namespace mimosahub
{

/// How a deployment speaks. Outlives the daemon.
struct GatewayAdapter {
    const CallProtocol &calls;
    const DocumentReader &documents;
    const DutyCalls &duties;
    GatewayControl::MakeStore makeStore;
    std::function<Checked<GatewaySettings>()> reload; ///< Reads the settings again.
};

/// Runs a gateway until SIGTERM or SIGINT, then drains it; SIGHUP reloads settings. The result is the
/// process's exit code: 0 stopped as planned, 1 could not start.
[[nodiscard]] int runGateway(const GatewaySettings &settings, const GatewayAdapter &adapter);

} // namespace mimosahub
