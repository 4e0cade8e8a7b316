#pragma once

#include "forward/piece.h"
#include "forward/prompt_affinity.h"
#include "forward/work_time_ratio.h"
#include "http/message.h"
#include "mimosahub/endpoint.h"
#include "mimosahub/ids.h"
#include "mimosahub/outcome.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The messages of callers and endpoints as the gateway sees them.
namespace mimosahub
{

/// What a caller's request says besides what is only passed on.
struct CallerCall {
    RequestId id;
    std::string host;
    std::string path; ///< Without the query.
    std::optional<Duration> deadline; ///< How long the caller waits, from its send.
    std::optional<std::string> lastEventId; ///< The stream is to go on behind this event.
    std::optional<std::string> apiKey;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< Most tokens that are generated.
    std::vector<PromptPart> prompt; ///< In order; the last one belongs to the request or its session.
    std::vector<int> pieces; ///< Pieces of each stage; 0 leaves the stage out.
    PieceKey pieceKey; ///< Names the input of stages that follow no other.
    std::uint64_t content = 0; ///< A hash of all that it asks for: the same if it comes again under another id.
};

inline constexpr std::size_t kMaxInputsBytes = 60'000; ///< Of a call's inputs, which one header holds.

/// What the gateway adds to a call for one endpoint.
struct ForwardOptions {
    EndpointId endpoint; ///< Any other endpoint at the address refuses the call.
    Duration deadline{}; ///< What is left.
    std::optional<WorkspaceId> workspace;
    std::optional<std::string> lastEventId;
    std::vector<ResultHandle> inputs; ///< Results of stages that no other stage follows.
    std::optional<int> priorityClass; ///< 0 is the most urgent.
};

/// Load of an endpoint as it reports it itself. A figure that was missing or could not be read is
/// absent; the others hold.
struct EndpointLoad {
    std::optional<int> running; ///< Requests that it runs.
    std::optional<int> queued; ///< Requests that wait there.
    std::optional<int> slots; ///< Requests that it runs at most.
    std::optional<WorkTimeRatio> workTime; ///< How long work takes on its machine at this moment.
    std::vector<std::string> unreadable; ///< Names of the figures that were present but could not be read.
};

/// What the header of an endpoint's answer says.
struct EndpointHead {
    int status = 0;
    bool notRun = false; ///< The endpoint did not run the call and never will.
    bool otherEndpoint = false; ///< Not run: another endpoint has the address now.
    bool inputsGone = false; ///< Not run: a result that it was to fetch is gone.
    bool certified = false; ///< Carries the mark that every answer of a call that ran has.
    std::optional<RequestId> request; ///< The request that it answers.
    std::optional<EndpointLoad> load;
    std::optional<Duration> idleTimeout; ///< The connection is closed when idle for so long.
    bool leaving = false; ///< The endpoint is about to stop and wants no new calls.
    /// The endpoint turned the call away and wants no further ones from this daemon for so long.
    std::optional<Duration> rest;
};

/// How callers and endpoints speak on a deployment. Decides nothing.
class CallProtocol
{
public:
    virtual ~CallProtocol() = default;

    /// Reads a caller's request. Error: InvalidArgument.
    [[nodiscard]] virtual absl::StatusOr<CallerCall> readCall(const http::Request &request) const = 0;
    /// The call of an endpoint for a caller's request, without its body: a copy of that would double the
    /// memory that a request takes until it is answered.
    [[nodiscard]] virtual http::Request writeCall(const http::Request &request,
                                                  const ForwardOptions &options) const = 0;
    [[nodiscard]] virtual EndpointHead readHead(const http::Response &head) const = 0;
    /// \a head without what concerns the endpoint's connection only.
    [[nodiscard]] virtual http::Response callerHead(const http::Response &head) const = 0;
    /// The header field by which callers name their requests.
    [[nodiscard]] virtual std::string_view requestIdField() const = 0;
    /// The answer that carries \a refusal.
    [[nodiscard]] virtual http::Response refusalResponse(const Refusal &refusal, const RequestId &id) const = 0;

    /// A call for \a pieces, which keep their order.
    [[nodiscard]] virtual http::Request writeBatch(const EndpointId &endpoint,
                                                   const std::vector<BatchPiece> &pieces) const = 0;
    /// The results of a call for \a count pieces, in their order. Error: InvalidArgument.
    [[nodiscard]] virtual absl::StatusOr<std::vector<PieceResult>> readBatch(std::string_view body,
                                                                             std::size_t count) const = 0;
    /// Where the endpoint that made a result can be reached.
    [[nodiscard]] virtual std::optional<Address> makerOf(const ResultHandle &handle) const = 0;
    /// A call that drops results at their maker.
    [[nodiscard]] virtual http::Request writeRelease(const std::vector<ResultHandle> &handles) const = 0;
    /// A call that asks an endpoint of stages for its memory.
    [[nodiscard]] virtual http::Request writeMemoryQuestion() const = 0;
    /// Bytes that the endpoint has left for results, at most. Error: InvalidArgument.
    [[nodiscard]] virtual absl::StatusOr<std::uint64_t> readFreeMemory(std::string_view body) const = 0;
};

} // namespace mimosahub
