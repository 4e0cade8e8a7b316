#include "forward/gateway_configuration.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace mimosahub;

namespace
{

RouteRule route(const std::string &id, const std::string &host, const std::string &prefix)
{
    RouteRule rule;
    rule.id = RouteId(id);
    rule.host = host;
    rule.pathPrefix = prefix;
    rule.services = {{ServiceId("s"), 1.0}};
    return rule;
}

} // namespace

// Compares with a search through all routes.
Test(gateway_configuration, finds_the_longest_prefix_of_the_host)
{
    cr_assert(rc::check([] {
        GatewayConfiguration::Parts parts;
        const auto count = *rc::gen::inRange(0, 12);
        for (int i = 0; i < count; ++i) {
            std::string prefix = "/";
            for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
                prefix += std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 2))) + "/";
            }
            const std::string host = *rc::gen::arbitrary<bool>() ? "x" : "Y";
            parts.routes.push_back(route(std::to_string(i), host, prefix));
        }
        std::string path = "/";
        for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
            path += std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 2))) + "/";
        }
        const auto routes = parts.routes;
        const GatewayConfiguration configuration(std::move(parts));
        const RouteRule *expected = nullptr;
        for (const auto &rule : routes) {
            const bool longer = expected == nullptr || rule.pathPrefix.size() > expected->pathPrefix.size();
            if (rule.host == "Y" && path.starts_with(rule.pathPrefix) && longer) {
                expected = &rule;
            }
        }
        const auto *found = configuration.findRoute("y:8080", path);
        const auto idOf = [](const RouteRule *rule) { return rule == nullptr ? RouteId() : rule->id; };
        RC_ASSERT(idOf(found) == idOf(expected));
    }));
}

Test(gateway_configuration, a_prefix_matches_only_whole_path_segments)
{
    GatewayConfiguration::Parts parts;
    parts.routes = {route("r", "h", "/shop/")};
    const GatewayConfiguration configuration(std::move(parts));
    cr_assert_null(configuration.findRoute("h", "/shopping/list"));
    cr_assert_null(configuration.findRoute("h", "/shop"));
    cr_assert_not_null(configuration.findRoute("H", "/shop/list"));
}

Test(gateway_configuration, keys_identify_workspaces)
{
    GatewayConfiguration::Parts parts;
    parts.workspaces = {{WorkspaceId("desk"), 3}};
    parts.apiKeys = {{"secret", WorkspaceId("desk")}, {"stray", WorkspaceId("nobody")}};
    const GatewayConfiguration configuration(std::move(parts));
    cr_assert(configuration.needsKeys());
    cr_assert(configuration.findWorkspace("secret")->id == WorkspaceId("desk"));
    cr_assert_null(configuration.findWorkspace("stray"));
    cr_assert_null(configuration.findWorkspace(""));
}

Test(gateway_configuration, streams_are_repeatable_only_if_resumable)
{
    RouteRule rule = route("r", "h", "/");
    rule.idempotent = true;
    rule.streaming = true;
    cr_assert(!rule.repeatable());
    rule.resumable = true;
    cr_assert(rule.repeatable());
}
