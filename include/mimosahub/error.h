#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

/// Errors are absl::Status values that carry the step at which they occurred and
/// the peer that was involved: another daemon, an endpoint, a caller or a service of
/// the platform.
namespace mimosahub
{

/// The processing step at which an error occurred.
enum class Step {
    Settings, ///< Reading and checking settings.
    Listen, ///< Opening a listening socket.
    Parse, ///< Reading a message or document.
    Admit, ///< Deciding whether a request may start.
    Choose, ///< Choosing an endpoint.
    Connect, ///< Opening a connection.
    Send, ///< Writing a request.
    Receive, ///< Reading a response.
    Append, ///< Appending to the platform's log.
    ReadLog, ///< Reading the platform's log.
    Apply, ///< Applying a record to the control state.
    Exchange, ///< Heartbeat or transfer between daemons.
    Order, ///< Sending an order to an endpoint.
    Drain, ///< Finishing work before a stop.
};

/// Name of \a step as it appears in logs and error bodies.
[[nodiscard]] std::string_view stepName(Step step);

/// Makes an error that carries \a step and \a peer. \a peer is an address or
/// id, or empty if no other process was involved.
[[nodiscard]] absl::Status errorAt(absl::StatusCode code, Step step, std::string_view peer, std::string_view message);

/// The step name carried by \a status, or empty.
[[nodiscard]] std::string stepOf(const absl::Status &status);

/// The peer carried by \a status, or empty.
[[nodiscard]] std::string peerOf(const absl::Status &status);

/// \a status as one line for logs: "step=connect peer=10.0.0.1:80 UNAVAILABLE: refused".
[[nodiscard]] std::string describe(const absl::Status &status);

} // namespace mimosahub
