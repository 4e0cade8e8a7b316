// What all commands share: choosing the command, sending a change, following it
// until it is in force, and turning each end into an exit code.

#include "ctl/session.h"

#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <algorithm>

namespace mimosahub::ctl
{

namespace
{

constexpr Duration kPollInterval = std::chrono::milliseconds(200);

} // namespace

Session::Session(const CommandLine &line, const Environment &environment)
    : m_line(line), m_environment(environment), m_client(line.daemons)
{
}

ExitCode Session::run()
{
    struct Row {
        std::string_view name;
        ExitCode (Session::*function)();
    };
    constexpr std::array kRows = {
        Row{"check", &Session::check},
        Row{"diff", &Session::diff},
        Row{"publish", &Session::publish},
        Row{"order", &Session::order},
        Row{"orders", &Session::orders},
        Row{"status", &Session::status},
        Row{"explain", &Session::explain},
        Row{"top", &Session::top},
        Row{"duties", &Session::duties},
        Row{"quarantines", &Session::quarantines},
        Row{"end-quarantine", &Session::endQuarantine},
    };
    const auto it =
        std::find_if(kRows.begin(), kRows.end(), [&](const Row &row) { return row.name == m_line.command; });
    return it == kRows.end() ? ExitCode::Usage : (this->*it->function)();
}

void Session::writeJson(const boost::json::value &value)
{
    m_environment.out << boost::json::serialize(value) << "\n";
}

ExitCode Session::fail(const absl::Status &status)
{
    const bool usage = status.code() == absl::StatusCode::kInvalidArgument;
    m_environment.err << "mimosahubctl: " << (usage ? std::string(status.message()) : describe(status)) << "\n";
    switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
        return ExitCode::Usage;
    case absl::StatusCode::kUnavailable:
        return ExitCode::NoDaemon;
    case absl::StatusCode::kUnknown:
        return ExitCode::Unknown;
    default:
        return ExitCode::BadAnswer;
    }
}

ExitCode Session::writeOutcome(const ChangeOutcome &outcome, const boost::json::value &body)
{
    auto &out = m_environment.out;
    if (m_line.json) {
        writeJson(body);
    } else if (outcome.state == ChangeState::Accepted) {
        out << "accepted at offset " << *outcome.offset << "\n";
    } else if (outcome.state == ChangeState::Recorded) {
        out << "recorded: " << outcome.detail << "\n";
    } else {
        out << (outcome.state == ChangeState::Rejected ? "rejected" : "not accepted") << ": " << outcome.reason;
        out << (outcome.detail.empty() ? "" : ": ") << outcome.detail << "\n";
        for (const auto &problem : outcome.problems) {
            out << "  " << problem << "\n";
        }
    }
    if (outcome.state == ChangeState::Accepted) {
        return ExitCode::Done;
    }
    if (outcome.state == ChangeState::Recorded) {
        return ExitCode::Pending;
    }
    if (outcome.reason == "verdict-lost" || outcome.reason == "in-doubt") {
        return ExitCode::Unknown;
    }
    return outcome.state == ChangeState::Rejected ? ExitCode::Rejected : ExitCode::NotAccepted;
}

ExitCode Session::sendChange(const std::string &target, const boost::json::object &body)
{
    if (m_line.operatorName.empty()) {
        return fail(errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "", "--operator NAME is missing"));
    }
    const auto reply = m_client.post(target, body);
    if (!reply.ok()) {
        return fail(reply.status());
    }
    const auto outcome = readOutcome(*reply);
    if (!outcome.ok()) {
        return fail(outcome.status());
    }
    const auto code = writeOutcome(*outcome, reply->body);
    const bool follows = code == ExitCode::Done && (m_line.wait || m_line.waitDone);
    return follows ? follow(*outcome->offset) : code;
}

void Session::writeStatus(const ChangeStatus &status)
{
    auto &out = m_environment.out;
    out << "offset " << status.offset << ": " << (status.inForce ? "in force" : "pending") << "\n";
    for (const auto &member : status.members) {
        out << "  " << member.instance << ": " << member.state << ", applied " << member.applied;
        out << (member.detail.empty() ? "" : ", ") << member.detail << "\n";
    }
    for (const auto &late : status.late) {
        out << "rollout of " << late.service << " to " << late.to << " at offset " << late.offset << ": " << late.detail
            << "\n";
    }
}

// Asks until the record at \a offset is in force or the timeout passes. A daemon
// that can't be reached in between is asked again: it may be restarting.
ExitCode Session::follow(Offset offset)
{
    const TimePoint end = m_environment.clock.now() + m_line.timeout;
    const auto target = "/v1/status?offset=" + std::to_string(offset.value());
    while (true) {
        const auto reply = m_client.get(target);
        const auto status = reply.ok() ? readStatus(*reply) : absl::StatusOr<ChangeStatus>(reply.status());
        const bool inForce = status.ok() && status->inForce;
        if (inForce || m_environment.clock.now() >= end) {
            if (!status.ok()) {
                return fail(status.status());
            }
            if (m_line.json) {
                writeJson(reply->body);
            } else {
                writeStatus(*status);
            }
            if (!inForce) {
                return ExitCode::Pending;
            }
            return followOrder(offset, end);
        }
        m_environment.sleeper.sleep(kPollInterval);
    }
}

// Tells how the order at \a offset, if it is one, has ended; with --wait-done
// asks until it has.
ExitCode Session::followOrder(Offset offset, TimePoint end)
{
    while (true) {
        const auto reply = m_client.get("/v1/orders");
        const auto orders = reply.ok() ? readOrders(*reply) : absl::StatusOr<std::vector<OrderStatus>>(reply.status());
        if (!orders.ok()) {
            return m_line.waitDone ? fail(orders.status()) : ExitCode::Done;
        }
        const auto it = std::find_if(orders->begin(), orders->end(),
                                     [&](const OrderStatus &order) { return order.offset == offset; });
        if (it == orders->end()) {
            return ExitCode::Done;
        }
        const bool ended = it->failed() || it->state == "done";
        const bool late = m_environment.clock.now() >= end;
        if (ended || late || !m_line.waitDone) {
            if (!m_line.json) {
                m_environment.out << it->summary << ": " << it->state << (it->detail.empty() ? "" : ", ") << it->detail
                                  << "\n";
            }
            if (it->failed()) {
                return ExitCode::TakenBack;
            }
            return ended || !m_line.waitDone ? ExitCode::Done : ExitCode::Pending;
        }
        m_environment.sleeper.sleep(kPollInterval);
    }
}

ExitCode runTool(const std::vector<std::string> &arguments, const Environment &environment)
{
    const auto line = CommandLine::parse(arguments, environment.user, environment.clock);
    if (!line.ok()) {
        environment.err << "mimosahubctl: " << line.status().message() << "\n";
        return ExitCode::Usage;
    }
    if (line->help) {
        environment.out << helpText();
        return ExitCode::Done;
    }
    if (line->version) {
        environment.out << "mimosahubctl " MIMOSAHUB_VERSION "\n";
        return ExitCode::Done;
    }
    return Session(*line, environment).run();
}

} // namespace mimosahub::ctl
