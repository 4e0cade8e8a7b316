// A stage sees the caller's input and the results before it, never another
// request's. The caller's own messages come first and the earlier results last:
// a conversation repeats its beginning with each turn and callers' templates
// repeat theirs, while results differ with each request, and an engine's cache
// holds only what a prompt begins with.

#include "daemon/stage_call.h"

#include "base/hash.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

constexpr std::size_t kPrefixBytes = 256;

json::value resultValue(const StageResult &result)
{
    json::object object;
    object["stage"] = result.stage.str();
    if (result.isText) {
        object["result"] = result.body;
        return object;
    }
    json::error_code ec;
    auto value = json::parse(result.body, ec);
    object["result"] = ec ? json::value(result.body) : std::move(value);
    return object;
}

json::object plainBody(const CallerRequest &request, const std::vector<StageResult> &previous)
{
    json::object body;
    body["input"] = request.input;
    json::array results;
    for (const auto &result : previous) {
        results.push_back(resultValue(result));
    }
    body["previous"] = std::move(results);
    return body;
}

json::object message(std::string_view role, const std::string &content)
{
    json::object object;
    object["role"] = role;
    object["content"] = content;
    return object;
}

/// The caller's own messages, or its whole input as one message.
json::array callerMessages(const CallerRequest &request)
{
    const auto &input = request.input.get_object();
    if (const auto *messages = input.if_contains("messages"); messages != nullptr && messages->is_array()) {
        return messages->get_array();
    }
    json::array result;
    const auto *text = input.if_contains("input");
    result.push_back(message("user", json::serialize(text != nullptr ? *text : request.input)));
    return result;
}

json::object engineBody(const CallerRequest &request, const Stage &stage, const std::vector<StageResult> &previous,
                        std::uint64_t fromOffset)
{
    json::object body = request.input.get_object();
    auto messages = callerMessages(request);
    for (const auto &result : previous) {
        messages.push_back(message("system", json::serialize(resultValue(result))));
    }
    body["model"] = stage.service.str();
    body["messages"] = std::move(messages);
    body["stream"] = true;
    if (fromOffset > 0) {
        body["resume_from"] = fromOffset;
    }
    return body;
}

std::string targetOf(const Stage &stage, ServiceKind kind)
{
    return kind == ServiceKind::Engine ? "/v1/chat/completions" : "/calls/" + stage.call;
}

} // namespace

http::Request makeStageCall(const CallerRequest &request, std::size_t index, ServiceKind kind,
                            const std::vector<StageResult> &previous, const StageCallOptions &options)
{
    const auto &stage = request.stages.at(index);
    http::Request call(http::beast::http::verb::post, targetOf(stage, kind), 11);
    call.set(http::beast::http::field::content_type, http::toBeast(http::kJsonType));
    call.set(http::toBeast(http::kRequestHeader), options.identity.request.str());
    call.set(http::toBeast(http::kStageHeader), options.identity.stage.str());
    call.set(http::toBeast(http::kAttemptHeader), options.identity.attempt.str());
    call.set(http::toBeast(http::kPriorityHeader), std::to_string(request.priority));
    const auto budget = std::chrono::duration_cast<std::chrono::milliseconds>(options.budget).count();
    call.set(http::toBeast(http::kDeadlineHeader), std::to_string(budget));
    if (!stage.idempotent && !request.idempotencyKey.empty()) {
        call.set("Idempotency-Key", request.idempotencyKey);
    }
    const auto body = kind == ServiceKind::Engine ? engineBody(request, stage, previous, options.fromOffset)
                                                  : plainBody(request, previous);
    call.body() = json::serialize(body);
    return call;
}

std::uint64_t promptPrefixHash(const http::Request &call)
{
    const std::string_view body = call.body();
    const auto start = body.find("\"messages\"");
    return hashBytes(start == std::string_view::npos ? body : body.substr(start, kPrefixBytes));
}

} // namespace mimosahub
