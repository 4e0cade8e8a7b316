#pragma once

#include "forward/duty_report.h"
#include "forward/scale_planner.h"
#include "http/message.h"

namespace mimosahub
{

/// In whose name a duty's call is made.
struct DutyCaller {
    InstanceId holder;
    std::uint64_t token = 0;
};

/// What the platform did with a duty's call.
enum class DutyOutcome {
    Done,
    Fenced, ///< Refused: it has seen a higher token for the same matter.
    Limited, ///< Refused: too many calls.
    Failed, ///< Refused for another reason that may pass.
    Rejected, ///< Refused for a reason that stays.
    Lost, ///< No response: it may be carried out later.
};

/// The name of \a outcome in log messages.
[[nodiscard]] std::string_view dutyOutcomeName(DutyOutcome outcome);

/// The calls of the platform's interface for duties. Decides nothing.
class DutyCalls
{
public:
    virtual ~DutyCalls() = default;
    [[nodiscard]] virtual http::Request reportUsage(const DutyCaller &caller, UsageWindowNumber window,
                                                    const UsageCounts &counts) const = 0;
    [[nodiscard]] virtual http::Request orderScale(const DutyCaller &caller, const ScaleOrder &order) const = 0;
    /// What a response with \a status says.
    [[nodiscard]] virtual DutyOutcome outcomeOf(int status) const = 0;
};

} // namespace mimosahub
