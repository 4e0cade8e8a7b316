// A claim is won only by the fold's verdict on this very record. Whoever lost
// looks at the claim that was first: its outcome, if recorded; else whether its
// holder is still a member. A holder that is none has ended or is cut off, and
// nobody can tell any more whether its call ran.

#include "daemon/claim_service.h"

namespace mimosahub
{

namespace
{

constexpr Duration kOutcomeRetry = std::chrono::milliseconds(300);
constexpr Duration kOutcomePatience = std::chrono::seconds(5);

ClaimHolder holderOf(const ClaimState &claim, const ControlState &state)
{
    if (claim.answer) {
        return ClaimHolder::Done;
    }
    const auto member = state.members().find(claim.holder);
    const bool alive = member != state.members().end() && member->second.incarnation == claim.incarnation;
    return alive ? ClaimHolder::OtherAlive : ClaimHolder::OtherGone;
}

} // namespace

ClaimService::ClaimService(const Clock &clock, LogLoop &log) : m_clock(clock), m_log(log)
{
}

void ClaimService::claim(const ClaimRequest &request, Deliver deliver)
{
    if (m_log.state().claim(request.workspace, request.key)) {
        tellLoss(request, deliver);
        return;
    }
    appendClaim(request, std::move(deliver));
}

void ClaimService::appendClaim(const ClaimRequest &request, Deliver deliver)
{
    Claim claim;
    claim.workspace = request.workspace;
    claim.key = request.key;
    claim.bodyDigest = RecordedDigest(request.digest);
    claim.expiry = request.expiry;
    m_log.submit(claim, request.deadline, Urgency::Normal,
                 [this, request, deliver = std::move(deliver)](const absl::StatusOr<TicketOutcome> &outcome) {
                     afterClaim(request, deliver, outcome);
                 });
}

void ClaimService::afterClaim(const ClaimRequest &request, const Deliver &deliver,
                              const absl::StatusOr<TicketOutcome> &outcome)
{
    if (!outcome.ok()) {
        deliver({ClaimFailed{request.round, m_log.writer().retryAfter(m_clock.now())}, std::nullopt, std::nullopt});
        return;
    }
    switch (outcome->resolution) {
    case AppendResolution::Accepted:
        deliver({ClaimWon{request.round}, outcome->verdict.position, std::nullopt});
        return;
    case AppendResolution::NotAppended:
        deliver({ClaimFailed{request.round, outcome->retryAfter}, std::nullopt, std::nullopt});
        return;
    case AppendResolution::Rejected:
    case AppendResolution::VerdictLost:
        tellLoss(request, deliver);
        return;
    }
}

/// What the claim that was first says to \a request; none if there is no claim.
std::optional<ClaimNews> ClaimService::lossOf(const ClaimRequest &request) const
{
    const auto claim = m_log.state().claim(request.workspace, request.key);
    if (!claim) {
        return std::nullopt;
    }
    ClaimView view;
    view.holder = holderOf(*claim, m_log.state());
    view.digest = claim->bodyDigest;
    view.expiry = claim->expiry;
    view.outcome = claim->answer ? claim->answer->outcome : Outcome::Unknown;
    const auto loss = claimLossOf(view, request.digest);
    return ClaimNews{ClaimLost{request.round, loss, view.outcome}, std::nullopt, claim->answer};
}

void ClaimService::tellLoss(const ClaimRequest &request, const Deliver &deliver)
{
    auto news = lossOf(request);
    if (!news) {
        // Released in the meantime: the request may claim anew.
        deliver({ClaimLost{request.round, ClaimLoss::Released, Outcome::NotRun}, std::nullopt, std::nullopt});
        return;
    }
    const bool open = std::get<ClaimLost>(news->event).state == ClaimLoss::InProgress;
    deliver(std::move(*news));
    if (open) {
        m_waiting.push_back({request, deliver});
    }
}

void ClaimService::stateChanged()
{
    std::list<Waiting> waiting;
    waiting.swap(m_waiting);
    for (auto &it : waiting) {
        const auto news = lossOf(it.request);
        const bool open = news && std::get<ClaimLost>(news->event).state == ClaimLoss::InProgress;
        if (open && m_clock.now() < it.request.deadline) {
            m_waiting.push_back(std::move(it));
        } else if (!open) {
            tellLoss(it.request, it.deliver);
        }
    }
}

void ClaimService::record(ClaimOutcome outcome)
{
    m_outcomes.push_back({std::move(outcome), false, m_clock.now()});
    submitOutcome(std::prev(m_outcomes.end()));
}

void ClaimService::submitOutcome(Outcomes::iterator it)
{
    it->submitted = true;
    const auto settled = [this, it](const absl::StatusOr<TicketOutcome> &outcome) {
        if (outcome.ok() && outcome->resolution != AppendResolution::NotAppended) {
            m_outcomes.erase(it);
            return;
        }
        it->submitted = false;
        it->retryAt = m_clock.now() + kOutcomeRetry;
    };
    m_log.submit(it->outcome, m_clock.now() + kOutcomePatience, Urgency::Normal, settled);
}

void ClaimService::tick()
{
    const auto now = m_clock.now();
    for (auto it = m_outcomes.begin(); it != m_outcomes.end();) {
        const auto next = std::next(it);
        if (!it->submitted && it->retryAt <= now) {
            submitOutcome(it);
        }
        it = next;
    }
}

} // namespace mimosahub
