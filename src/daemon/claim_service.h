#pragma once

#include "daemon/log_loop.h"
#include "request/idempotency.h"
#include "request/request_event.h"

#include <functional>
#include <list>
#include <optional>

namespace mimosahub
{

/// What a request wants to claim.
struct ClaimRequest {
    WorkspaceId workspace;
    IdempotencyKey key;
    BodyDigest digest;
    WallTime expiry;
    int round = 0; ///< As in AppendClaim.
    TimePoint deadline; ///< The append is of no use later.
};

/// What the log says of a claim.
struct ClaimNews {
    RequestEvent event; ///< ClaimWon, ClaimLost or ClaimFailed.
    std::optional<RecordPosition> position; ///< Of the claim, with ClaimWon.
    std::optional<ClaimAnswer> answer; ///< Recorded by the holder, with ClaimLost.
};

/// Claims idempotency keys in the log, tells requests that wait for a holder
/// what became of it, and records outcomes until the log has taken them. Used
/// on the control thread only.
class ClaimService
{
public:
    /// May be called again with each change while another holder runs.
    using Deliver = std::function<void(ClaimNews)>;

    /// All arguments must outlive the service.
    ClaimService(const Clock &clock, LogLoop &log);

    void claim(const ClaimRequest &request, Deliver deliver);
    /// Records how the claim at \a position ended; repeats until the log has it.
    void record(ClaimOutcome outcome);
    /// Looks at what the log has brought, and repeats what it hasn't taken.
    void stateChanged();
    void tick();
    /// Outcomes that the log has not taken yet.
    [[nodiscard]] std::size_t unrecorded() const
    {
        return m_outcomes.size();
    }

private:
    struct Waiting {
        ClaimRequest request;
        Deliver deliver;
    };
    struct PendingOutcome {
        ClaimOutcome outcome;
        bool submitted = false;
        TimePoint retryAt;
    };
    using Outcomes = std::list<PendingOutcome>;

    void appendClaim(const ClaimRequest &request, Deliver deliver);
    void afterClaim(const ClaimRequest &request, const Deliver &deliver, const absl::StatusOr<TicketOutcome> &outcome);
    void tellLoss(const ClaimRequest &request, const Deliver &deliver);
    [[nodiscard]] std::optional<ClaimNews> lossOf(const ClaimRequest &request) const;
    void submitOutcome(Outcomes::iterator it);

    const Clock &m_clock;
    LogLoop &m_log;
    std::list<Waiting> m_waiting;
    Outcomes m_outcomes;
};

} // namespace mimosahub
