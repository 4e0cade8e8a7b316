#pragma once

#include "ctl/answers.h"
#include "ctl/command_line.h"
#include "ctl/exit_code.h"

#include <ostream>
#include <string>

namespace mimosahub::ctl
{

/// Waits between two questions to a daemon.
class Sleeper
{
public:
    virtual ~Sleeper() = default;
    virtual void sleep(Duration duration) = 0;
};

/// Where the tool writes, and its sources of time and names.
struct Environment {
    std::ostream &out;
    std::ostream &err;
    const Clock &clock;
    Sleeper &sleeper;
    std::string user; ///< Default name of the operator.
};

/// One run of one command.
class Session
{
public:
    Session(const CommandLine &line, const Environment &environment);

    /// Runs the command and writes its result.
    ExitCode run();

private:
    ExitCode check();
    ExitCode diff();
    ExitCode publish();
    ExitCode order();
    ExitCode orders();
    ExitCode status();
    ExitCode explain();
    ExitCode top();
    ExitCode duties();
    ExitCode quarantines();
    ExitCode endQuarantine();

    /// Reads and checks the deployment that the command names; empty after a problem, which is written.
    std::optional<ObjectMap> readDeployment();
    absl::StatusOr<PublishedObjects> fetchPublished();
    absl::StatusOr<boost::json::object> orderBody() const;
    ExitCode sendChange(const std::string &target, const boost::json::object &body);
    ExitCode follow(Offset offset);
    ExitCode followOrder(Offset offset, TimePoint end);
    void writeStatus(const ChangeStatus &status);
    ExitCode writeOutcome(const ChangeOutcome &outcome, const boost::json::value &body);
    ExitCode fail(const absl::Status &status);
    void writeJson(const boost::json::value &value);

    const CommandLine &m_line;
    const Environment &m_environment;
    DaemonClient m_client;
};

/// Runs mimosahubctl with the arguments after its name.
[[nodiscard]] ExitCode runTool(const std::vector<std::string> &arguments, const Environment &environment);

} // namespace mimosahub::ctl
