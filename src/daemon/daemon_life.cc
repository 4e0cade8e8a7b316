// MSM numbers the states in the order in which they first appear in the
// transition table: sources first, then targets. The test checks that this is
// DaemonPhase's order.

#include "daemon/daemon_life.h"

namespace mimosahub
{

std::string_view phaseName(DaemonPhase phase)
{
    switch (phase) {
    case DaemonPhase::CatchingUp:
        return "catching-up";
    case DaemonPhase::Serving:
        return "serving";
    case DaemonPhase::Draining:
        return "draining";
    case DaemonPhase::Leaving:
        return "leaving";
    case DaemonPhase::Stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace mimosahub
