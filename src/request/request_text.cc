// One overload for each kind of event and action, selected by std::visit. Fields
// with their default value are omitted, which keeps golden files readable.

#include "request/request_text.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <cmath>

namespace mimosahub
{

namespace
{

constexpr std::array<std::string_view, 6> kTimerKinds = {"deadline", "claim", "attempt", "hedge", "backoff", "settle"};
constexpr std::array<std::string_view, 6> kFailures = {"connect-failed", "reset",    "timeout",
                                                       "short-answer",   "bad-echo", "bad-answer"};
constexpr std::array<std::string_view, 5> kLosses = {"in-progress", "recorded", "unknown", "released", "reused"};
constexpr int kOkStatus = 200;

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

// Milliseconds with up to three decimals.
std::string milliseconds(Duration duration)
{
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return absl::StrCat(static_cast<double>(us) / 1000.0, "ms");
}

std::string retry(const std::optional<Duration> &after)
{
    return after ? absl::StrCat(" retry=", milliseconds(*after)) : std::string();
}

std::string status(int status)
{
    return status == kOkStatus ? std::string() : absl::StrCat(" status=", status);
}

std::string timerName(const RequestTimer &timer)
{
    const auto name = view(timerKindName(timer.kind));
    return timer.attempt.empty() ? std::string(name) : absl::StrCat(name, " ", timer.attempt.str());
}

struct EventText {
    std::string operator()(const Started &) const
    {
        return "started";
    }
    std::string operator()(const EndpointChosen &event) const
    {
        return absl::StrCat("chosen ", event.attempt.str(), " ", event.endpoint.str());
    }
    std::string operator()(const NoEndpoint &event) const
    {
        return absl::StrCat("no-endpoint ", event.attempt.str(), " ", view(reasonName(event.reason)),
                            retry(event.retryAfter));
    }
    std::string operator()(const Connected &event) const
    {
        return absl::StrCat("connected ", event.attempt.str());
    }
    std::string operator()(const AttemptAnswered &event) const
    {
        return absl::StrCat("answered ", event.attempt.str(), echo(event.attempt, event.echo), status(event.status),
                            event.whole ? "" : " short");
    }
    std::string operator()(const StreamOpened &event) const
    {
        return absl::StrCat("opened ", event.attempt.str(), echo(event.attempt, event.echo), status(event.status));
    }
    std::string operator()(const StreamData &event) const
    {
        return absl::StrCat("data ", event.attempt.str(), " ", event.offset, " ", event.count, event.end ? " end" : "");
    }
    std::string operator()(const AttemptRefused &event) const
    {
        return absl::StrCat("refused ", event.attempt.str(), echo(event.attempt, event.echo), retry(event.retryAfter));
    }
    std::string operator()(const AttemptFailed &event) const
    {
        return absl::StrCat("failed ", event.attempt.str(), " ", view(attemptFailureName(event.failure)));
    }
    std::string operator()(const ClaimWon &event) const
    {
        return absl::StrCat("claim-won ", event.round);
    }
    std::string operator()(const ClaimLost &event) const
    {
        const bool recorded = event.state == ClaimLoss::Recorded;
        return absl::StrCat("claim-lost ", event.round, " ", view(claimLossName(event.state)), recorded ? " " : "",
                            recorded ? view(outcomeName(event.recorded)) : "");
    }
    std::string operator()(const ClaimFailed &event) const
    {
        return absl::StrCat("claim-failed ", event.round, retry(event.retryAfter));
    }
    std::string operator()(const TimerFired &event) const
    {
        return absl::StrCat("timer ", timerName(event.timer));
    }
    std::string operator()(const CallerLeft &) const
    {
        return "caller-left";
    }
    std::string operator()(const DaemonStopping &) const
    {
        return "stopping";
    }

private:
    static std::string echo(const AttemptId &attempt, const CallIdentity &echo)
    {
        if (echo.attempt != attempt) {
            return absl::StrCat(" echo=", echo.attempt.str());
        }
        return absl::StrCat(" of ", echo.request.str(), "/", echo.stage.str());
    }
};

struct ActionText {
    TimePoint start;

    std::string operator()(const ChooseEndpoint &action) const
    {
        auto text = absl::StrCat("choose ", action.attempt.str(), " stage=", action.stage, until(action.giveUpAt),
                                 action.hedge ? " hedge" : "");
        for (const auto &endpoint : action.avoid) {
            absl::StrAppend(&text, " avoid=", endpoint.str());
        }
        return text;
    }
    std::string operator()(const AppendClaim &action) const
    {
        return absl::StrCat("append-claim ", action.round);
    }
    std::string operator()(const OpenConnection &action) const
    {
        return absl::StrCat("open ", action.attempt.str(), " ", action.endpoint.str(), action.fresh ? " fresh" : "");
    }
    std::string operator()(const SendCall &action) const
    {
        return absl::StrCat("send ", action.attempt.str(), until(action.giveUpAt),
                            action.fromOffset > 0 ? absl::StrCat(" from=", action.fromOffset) : std::string());
    }
    std::string operator()(const CancelAttempt &action) const
    {
        return absl::StrCat("cancel ", action.attempt.str());
    }
    std::string operator()(const CloseConnection &action) const
    {
        return absl::StrCat("close ", action.attempt.str());
    }
    std::string operator()(const CommitStage &action) const
    {
        return absl::StrCat("commit stage=", action.stage, " ", action.attempt.str());
    }
    std::string operator()(const RelayTokens &action) const
    {
        return absl::StrCat("relay ", action.attempt.str(), " ", action.offset, " ", action.count);
    }
    std::string operator()(const SetTimer &action) const
    {
        return absl::StrCat("set-timer ", timerName(action.timer), at(action.at));
    }
    std::string operator()(const RecordOutcome &action) const
    {
        return absl::StrCat("record ", view(outcomeName(action.outcome)),
                            action.attempt ? absl::StrCat(" ", action.attempt->str()) : std::string());
    }
    std::string operator()(const FinalAnswer &action) const
    {
        const auto *stream = action.streamBegun ? " stream" : "";
        switch (action.source) {
        case AnswerSource::Endpoint:
            return absl::StrCat("answer ok ", action.attempt.str(), stream);
        case AnswerSource::Record:
            return "answer recorded";
        case AnswerSource::Refusal:
            break;
        }
        const auto &refusal = action.refusal;
        return absl::StrCat("answer ", view(outcomeName(refusal.outcome)), " ", view(reasonName(refusal.reason)),
                            retry(refusal.retryAfter), stream, " step=", refusal.step, " peer=", refusal.peer);
    }

private:
    [[nodiscard]] std::string at(TimePoint time) const
    {
        return absl::StrCat(" at=+", milliseconds(time - start));
    }
    [[nodiscard]] std::string until(TimePoint time) const
    {
        return absl::StrCat(" until=+", milliseconds(time - start));
    }
};

} // namespace

std::string textOf(const RequestEvent &event)
{
    return std::visit(EventText(), event);
}

std::string textOf(const RequestAction &action, TimePoint start)
{
    return std::visit(ActionText{start}, action);
}

std::string_view timerKindName(TimerKind kind)
{
    return kTimerKinds.at(static_cast<std::size_t>(kind));
}

std::string_view attemptFailureName(AttemptFailure failure)
{
    return kFailures.at(static_cast<std::size_t>(failure));
}

std::string_view claimLossName(ClaimLoss loss)
{
    return kLosses.at(static_cast<std::size_t>(loss));
}

} // namespace mimosahub
