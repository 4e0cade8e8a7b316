#pragma once

namespace mimosahub::ctl
{

/// What mimosahubctl says to scripts. The numbers are part of the contract.
enum class ExitCode {
    Done = 0,
    Rejected = 1, ///< The group of daemons rejected the change; it has no effect.
    Usage = 2, ///< Bad command line, or a file with problems.
    NoDaemon = 3, ///< No daemon could be reached; nothing was sent.
    NotAccepted = 4, ///< The change was not accepted and has no effect; try again later.
    Pending = 5, ///< Accepted, but not yet in force or done when the timeout passed.
    TakenBack = 6, ///< The rollout was taken back, or the order failed.
    Unknown = 7, ///< Sent, but the answer was lost: the change may be in the log.
    BadAnswer = 8, ///< A daemon answered with an error, or with what this version can't read.
};

} // namespace mimosahub::ctl
