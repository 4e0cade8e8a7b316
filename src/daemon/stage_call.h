#pragma once

#include "daemon/caller_request.h"
#include "request/request_plan.h"

#include <string>
#include <vector>

namespace mimosahub
{

/// The answer of one finished stage.
struct StageResult {
    StageId stage;
    std::string body; ///< JSON of a plain service, or the text of an engine.
    bool isText = false; ///< The body is an engine's text.
};

/// What one call says besides its content.
struct StageCallOptions {
    CallIdentity identity;
    Duration budget{}; ///< Time that the endpoint has.
    std::uint64_t fromOffset = 0; ///< First token wanted from an engine.
};

/// Builds the HTTP request for stage \a index of \a request. A plain service
/// gets {"input": ..., "previous": [...]}; an engine gets chat messages made of
/// the earlier results and the caller's input.
[[nodiscard]] http::Request makeStageCall(const CallerRequest &request, std::size_t index, ServiceKind kind,
                                          const std::vector<StageResult> &previous, const StageCallOptions &options);

/// Number of prompt bytes that all calls of this stage from one workspace share
/// at the start; its hash steers calls to the engine that has them cached.
[[nodiscard]] std::uint64_t promptPrefixHash(const http::Request &call);

} // namespace mimosahub
