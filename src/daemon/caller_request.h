#pragma once

#include "http/memory_account.h"
#include "http/message.h"
#include "mimosahub/configuration.h"
#include "mimosahub/outcome.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosahub
{

/// What a caller asks for, resolved against the configuration.
struct CallerRequest {
    RequestId id;
    WorkspaceId workspace;
    int priority = 0; ///< The workspace's; passed on to engines.
    std::string route; ///< "pipeline/NAME", "service/NAME/CALL" or "chat/NAME"; for metrics.
    std::vector<Stage> stages; ///< One for a call of a service.
    bool engineLast = false; ///< The last stage is an engine: the answer is a stream of events.
    Duration deadline{}; ///< From arrival to the end of the answer.
    std::string target; ///< Of the HTTP request; part of an idempotency key's digest.
    std::string body; ///< As received.
    boost::json::value input; ///< The parsed body, held by the account.
    std::string idempotencyKey; ///< Header Idempotency-Key, or empty.
    std::string idempotencyExpires; ///< Header Idempotency-Expires, or empty.
};

/// Resolves \a request, whose body it takes, or says why it can't be served:
/// POST /v1/pipelines/NAME, POST /v1/services/NAME/CALL, POST /v1/chat/completions.
[[nodiscard]] std::variant<CallerRequest, Refusal> readCallerRequest(const http::Request &request, std::string body,
                                                                     RequestId id, const Configuration &configuration,
                                                                     http::MemoryAccount &memory);

} // namespace mimosahub
