// Step and peer travel as payloads of absl::Status, so that code which only
// forwards an error needs no type of its own and loses nothing.

#include "mimosahub/error.h"

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

namespace mimosahub
{

namespace
{

constexpr std::string_view kStepPayload = "mimosahub/step";
constexpr std::string_view kPeerPayload = "mimosahub/peer";

std::string payloadOf(const absl::Status &status, std::string_view name)
{
    const auto payload = status.GetPayload(absl::string_view(name.data(), name.size()));
    return payload ? std::string(*payload) : std::string();
}

} // namespace

std::string_view stepName(Step step)
{
    switch (step) {
    case Step::Settings:
        return "settings";
    case Step::Listen:
        return "listen";
    case Step::Parse:
        return "parse";
    case Step::Admit:
        return "admit";
    case Step::Choose:
        return "choose";
    case Step::Connect:
        return "connect";
    case Step::Send:
        return "send";
    case Step::Receive:
        return "receive";
    case Step::Append:
        return "append";
    case Step::ReadLog:
        return "read-log";
    case Step::Apply:
        return "fold";
    case Step::Exchange:
        return "exchange";
    case Step::Order:
        return "order";
    case Step::Drain:
        return "drain";
    }
    return "unknown";
}

absl::Status errorAt(absl::StatusCode code, Step step, std::string_view peer, std::string_view message)
{
    absl::Status status(code, absl::string_view(message.data(), message.size()));
    status.SetPayload(kStepPayload.data(), absl::Cord(stepName(step).data()));
    if (!peer.empty()) {
        status.SetPayload(kPeerPayload.data(), absl::Cord(absl::string_view(peer.data(), peer.size())));
    }
    return status;
}

std::string stepOf(const absl::Status &status)
{
    return payloadOf(status, kStepPayload);
}

std::string peerOf(const absl::Status &status)
{
    return payloadOf(status, kPeerPayload);
}

std::string describe(const absl::Status &status)
{
    std::string line;
    if (const auto step = stepOf(status); !step.empty()) {
        absl::StrAppend(&line, "step=", step, " ");
    }
    if (const auto peer = peerOf(status); !peer.empty()) {
        absl::StrAppend(&line, "peer=", peer, " ");
    }
    absl::StrAppend(&line, absl::StatusCodeToString(status.code()), ": ", status.message());
    return line;
}

} // namespace mimosahub
