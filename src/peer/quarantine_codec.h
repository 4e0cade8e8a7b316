#pragma once

#include "forward/quarantine_news.h"
#include "wire/stage.capnp.h"

/// Converts what daemons tell each other of quarantines. Times are sent as ages, since the
/// clocks of instances differ.
namespace mimosahub
{

void writeQuarantines(const QuarantineMessage &message, TimePoint now, wire::QuarantineMessage::Builder out);
[[nodiscard]] QuarantineMessage readQuarantines(wire::QuarantineMessage::Reader in, TimePoint now);

} // namespace mimosahub
