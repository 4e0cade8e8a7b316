// Reads path, headers and body in the order in which a caller would want to hear
// of mistakes: route first, then workspace, then deadline, then body.

#include "daemon/caller_request.h"

#include "http/accounted_memory.h"
#include "mimosahub/error.h"

#include <absl/strings/str_cat.h>
#include <boost/json/parser.hpp>

#include <charconv>
#include <memory>
#include <new>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

using Result = std::variant<CallerRequest, Refusal>;

constexpr std::string_view kPipelinePrefix = "/v1/pipelines/";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::size_t kMaxJsonDepth = 32;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

Refusal refuse(Reason reason, std::string detail)
{
    return makeRefusal(reason, std::move(detail), Step::Parse);
}

/// Parses \a text. Throws std::bad_alloc if \a memory has no room for the document, or for the parser.
json::value parseJson(std::string_view text, http::MemoryAccount &memory, json::error_code &ec)
{
    json::parse_options options;
    options.max_depth = kMaxJsonDepth;
    const auto storage = json::make_shared_resource<http::AccountedMemory>(memory);
    json::parser parser(storage, options);
    parser.reset(storage);
    parser.write(text.data(), text.size(), ec);
    return ec ? json::value() : parser.release();
}

std::optional<Refusal> readBody(CallerRequest &it, http::MemoryAccount &memory)
{
    json::error_code ec;
    try {
        // Assignment would copy the document into memory of which nobody keeps account.
        auto input = parseJson(it.body, memory, ec);
        std::destroy_at(&it.input);
        std::construct_at(&it.input, std::move(input));
    } catch (const std::bad_alloc &) {
        return makeRefusal(Reason::Overloaded, "this daemon has no memory for the body's content now", Step::Parse,
                           kRetryAfter);
    }
    if (ec) {
        return refuse(Reason::BadRequest, "the body is not JSON: " + ec.message());
    }
    if (!it.input.is_object()) {
        return refuse(Reason::BadRequest, "the body is not a JSON object");
    }
    return std::nullopt;
}

std::optional<Refusal> readWorkspace(const http::Request &request, const Configuration &configuration,
                                     CallerRequest &it)
{
    it.workspace = WorkspaceId(http::header(request, http::kWorkspaceHeader));
    const auto workspace = configuration.workspaces.find(it.workspace);
    if (workspace == configuration.workspaces.end()) {
        return refuse(Reason::UnknownWorkspace,
                      "no workspace '" + it.workspace.str() + "'; set header " + std::string(http::kWorkspaceHeader));
    }
    it.priority = workspace->second.priority;
    return std::nullopt;
}

/// The profile's deadline, or a shorter one that the caller asked for.
std::optional<Refusal> readDeadline(const http::Request &request, const Configuration &configuration,
                                    const ProfileId &profile, CallerRequest &it)
{
    it.deadline = configuration.profiles.at(profile).deadline;
    const auto text = http::header(request, http::kDeadlineHeader);
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t ms = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || ms <= 0) {
        return refuse(Reason::BadRequest,
                      "header " + std::string(http::kDeadlineHeader)
                          + " must be a whole number of milliseconds above 0");
    }
    it.deadline = std::min<Duration>(it.deadline, std::chrono::milliseconds(std::min<std::int64_t>(ms, 3'600'000)));
    return std::nullopt;
}

/// Sets route, stages and the profile that gives the deadline.
std::optional<Refusal> resolvePipeline(std::string_view name, const Configuration &configuration, CallerRequest &it,
                                       ProfileId &profile)
{
    const auto found = configuration.pipelines.find(PipelineId(name));
    if (found == configuration.pipelines.end()) {
        return refuse(Reason::UnknownRoute, "no pipeline '" + std::string(name) + "'");
    }
    it.route = "pipeline/" + std::string(name);
    it.stages = found->second.stages;
    profile = found->second.profile;
    return std::nullopt;
}

std::optional<Refusal> resolveCall(std::string_view path, const Configuration &configuration, CallerRequest &it,
                                   ProfileId &profile)
{
    const auto slash = path.find('/');
    const std::string service(path.substr(0, slash));
    const std::string name(slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1));
    const auto found = configuration.services.find(ServiceId(service));
    if (found == configuration.services.end() || found->second.kind != ServiceKind::Plain) {
        return refuse(Reason::UnknownRoute, "no plain service '" + service + "'");
    }
    for (const auto &call : found->second.calls) {
        if (call.name == name) {
            it.route = absl::StrCat("service/", service, "/", name);
            it.stages = {Stage{StageId(name), found->first, name, call.idempotent}};
            profile = found->second.profile;
            return std::nullopt;
        }
    }
    return refuse(Reason::UnknownRoute, "service '" + service + "' has no call '" + name + "'");
}

std::optional<Refusal> resolveChat(const Configuration &configuration, CallerRequest &it, ProfileId &profile)
{
    const auto *model = it.input.get_object().if_contains("model");
    const std::string name = model != nullptr && model->is_string() ? json::value_to<std::string>(*model) : "";
    const auto found = configuration.services.find(ServiceId(name));
    if (found == configuration.services.end() || found->second.kind != ServiceKind::Engine) {
        return refuse(Reason::UnknownRoute, "no model '" + name + "'; \"model\" names a service of engines");
    }
    it.route = "chat/" + name;
    it.stages = {Stage{StageId("generate"), found->first, "", true}};
    profile = found->second.profile;
    return std::nullopt;
}

std::optional<Refusal> resolveRoute(std::string_view path, const Configuration &configuration, CallerRequest &it,
                                    ProfileId &profile)
{
    if (path.starts_with(kPipelinePrefix)) {
        return resolvePipeline(path.substr(kPipelinePrefix.size()), configuration, it, profile);
    }
    if (path.starts_with(kServicePrefix)) {
        return resolveCall(path.substr(kServicePrefix.size()), configuration, it, profile);
    }
    return resolveChat(configuration, it, profile);
}

bool isKnownPath(std::string_view path)
{
    return path == kChatPath || path.starts_with(kPipelinePrefix) || path.starts_with(kServicePrefix);
}

} // namespace

Result readCallerRequest(const http::Request &request, std::string body, RequestId id,
                         const Configuration &configuration, http::MemoryAccount &memory)
{
    CallerRequest it;
    it.id = std::move(id);
    it.body = std::move(body);
    it.target = std::string(http::fromBeast(request.target()));
    const std::string path(http::pathOf(it.target));
    if (!isKnownPath(path)) {
        return refuse(Reason::UnknownRoute, "no route '" + path + "'");
    }
    if (request.method() != http::beast::http::verb::post) {
        return refuse(Reason::BadRequest, "only POST is allowed on '" + path + "'");
    }
    if (auto refusal = readBody(it, memory)) {
        return *refusal;
    }
    ProfileId profile;
    if (auto refusal = resolveRoute(path, configuration, it, profile)) {
        return *refusal;
    }
    if (auto refusal = readWorkspace(request, configuration, it)) {
        return *refusal;
    }
    if (auto refusal = readDeadline(request, configuration, profile, it)) {
        return *refusal;
    }
    it.engineLast = configuration.services.at(it.stages.back().service).kind == ServiceKind::Engine;
    it.idempotencyKey = std::string(http::header(request, "Idempotency-Key"));
    it.idempotencyExpires = std::string(http::header(request, "Idempotency-Expires"));
    return it;
}

} // namespace mimosahub
