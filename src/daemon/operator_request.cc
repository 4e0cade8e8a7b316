// Operators' bodies become records of the log; whether a record is accepted is
// decided by the fold, the same on every daemon.

#include "daemon/operator_request.h"

#include "config/configuration_codec.h"
#include "mimosahub/error.h"

#include <boost/json.hpp>

namespace mimosahub
{

namespace
{

namespace json = boost::json;

absl::Status invalid(std::string_view what)
{
    return errorAt(absl::StatusCode::kInvalidArgument, Step::Parse, "operator", what);
}

/// The member \a key as text. Throws if it is missing or no text.
std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_string()) {
        throw std::invalid_argument("\"" + std::string(key) + "\" is missing or not a string");
    }
    return json::value_to<std::string>(*value);
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    json::error_code ec;
    const auto number = value != nullptr ? value->to_number<std::uint64_t>(ec) : 0;
    if (value == nullptr || ec) {
        throw std::invalid_argument("\"" + std::string(key) + "\" is missing or not a whole number");
    }
    return number;
}

ObjectChange readChange(const json::object &object)
{
    const auto kind = kindFromName(textOf(object, "kind"));
    if (!kind) {
        throw std::invalid_argument("unknown kind \"" + textOf(object, "kind") + "\"");
    }
    ObjectChange change;
    change.object = {*kind, textOf(object, "name")};
    change.base = Offset(numberOf(object, "base"));
    const auto *spec = object.if_contains("spec");
    if (spec != nullptr && !spec->is_null()) {
        change.spec = json::serialize(*spec);
    }
    return change;
}

WallTime timeOf(const json::object &object, std::string_view key)
{
    return WallTime(std::chrono::milliseconds(numberOf(object, key)));
}

/// Fails on a version that no endpoint has: calls would have nowhere to go, and the
/// rollout could never have an outcome.
absl::StatusOr<Record> readRollout(const json::object &object, std::string operatorName,
                                   const VersionIsListed &versionIsListed)
{
    RolloutStart start;
    start.service = ServiceId(textOf(object, "service"));
    start.fromVersion = VersionId(textOf(object, "from"));
    start.toVersion = VersionId(textOf(object, "to"));
    start.begin = timeOf(object, "begin_ms");
    start.due = timeOf(object, "due_ms");
    const auto *again = object.if_contains("after_take_back");
    start.afterRollback = again != nullptr && again->is_bool() && again->get_bool();
    start.operatorName = std::move(operatorName);
    for (const auto &version : {start.fromVersion, start.toVersion}) {
        if (!versionIsListed(start.service, version)) {
            return errorAt(absl::StatusCode::kFailedPrecondition, Step::Parse, start.service.str(),
                           "the instance list has no endpoint of version '" + version.str() + "'");
        }
    }
    return start;
}

std::optional<EndpointAction> actionFromName(std::string_view name)
{
    if (name == "load-model") {
        return EndpointAction::LoadModel;
    }
    if (name == "load-adapter") {
        return EndpointAction::LoadAdapter;
    }
    if (name == "change-role") {
        return EndpointAction::ChangeRole;
    }
    return std::nullopt;
}

absl::StatusOr<ServiceId> listedService(const EndpointId &endpoint, const ServiceOfEndpoint &serviceOf)
{
    auto service = serviceOf(endpoint);
    if (service.empty()) {
        return errorAt(absl::StatusCode::kNotFound, Step::Parse, endpoint.str(),
                       "the instance list has no endpoint '" + endpoint.str() + "'");
    }
    return service;
}

absl::StatusOr<Record> readEndpointOrder(const json::object &object, const std::string &name, std::string operatorName,
                                         const ServiceOfEndpoint &serviceOf)
{
    const EndpointId endpoint(textOf(object, "endpoint"));
    const auto service = listedService(endpoint, serviceOf);
    if (!service.ok()) {
        return service.status();
    }
    if (const auto action = actionFromName(name)) {
        return EndpointOrder{endpoint, *service, *action, textOf(object, "argument"), std::move(operatorName)};
    }
    return DrainOrder{endpoint, *service, name == "drain", std::move(operatorName)};
}

absl::StatusOr<Record> readOrderObject(const json::object &object, const ServiceOfEndpoint &serviceOf,
                                       const VersionIsListed &versionIsListed)
{
    const auto name = textOf(object, "order");
    auto operatorName = textOf(object, "operator");
    if (name == "zone-out" || name == "zone-in") {
        return ZoneOrder{ZoneId(textOf(object, "zone")), name == "zone-out", std::move(operatorName)};
    }
    if (name == "rollout") {
        return readRollout(object, std::move(operatorName), versionIsListed);
    }
    if (name == "abort") {
        return RolloutAbort{ServiceId(textOf(object, "service")), std::move(operatorName)};
    }
    if (name == "drain" || name == "undrain" || actionFromName(name)) {
        return readEndpointOrder(object, name, std::move(operatorName), serviceOf);
    }
    return invalid("unknown order \"" + name
                   + "\"; allowed: zone-out, zone-in, drain, undrain, rollout, abort, load-model, load-adapter, "
                     "change-role");
}

absl::StatusOr<json::object> parseObject(std::string_view body)
{
    json::error_code ec;
    auto value = json::parse({body.data(), body.size()}, ec);
    if (ec || !value.is_object()) {
        return invalid("the body is not a JSON object");
    }
    return std::move(value.get_object());
}

} // namespace

absl::StatusOr<Record> readPublish(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object.ok()) {
        return object.status();
    }
    try {
        Publish publish;
        publish.operatorName = textOf(*object, "operator");
        const auto *changes = object->if_contains("changes");
        if (changes == nullptr || !changes->is_array() || changes->get_array().empty()) {
            return invalid("\"changes\" is missing, empty or not an array");
        }
        for (const auto &change : changes->get_array()) {
            publish.changes.push_back(readChange(change.as_object()));
        }
        return publish;
    } catch (const std::exception &error) {
        return invalid(error.what());
    }
}

absl::StatusOr<Record> readOrder(std::string_view body, const ServiceOfEndpoint &serviceOf,
                                 const VersionIsListed &versionIsListed)
{
    const auto object = parseObject(body);
    if (!object.ok()) {
        return object.status();
    }
    try {
        return readOrderObject(*object, serviceOf, versionIsListed);
    } catch (const std::exception &error) {
        return invalid(error.what());
    }
}

} // namespace mimosahub
