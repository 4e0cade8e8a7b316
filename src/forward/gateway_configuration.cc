// Routes are looked up for each request, so they are sorted once, by host and by
// descending length of their prefix: the first one that matches the path is the
// longest.

#include "forward/gateway_configuration.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace mimosahub
{

namespace
{

std::string hostName(std::string_view host)
{
    const auto name = host.substr(0, host.find(':'));
    return absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
}

} // namespace

GatewayConfiguration::GatewayConfiguration(Parts parts) : m_parts(std::move(parts))
{
    for (auto &route : m_parts.routes) {
        route.host = hostName(route.host);
    }
    for (const auto &route : m_parts.routes) {
        m_byHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const auto *a, const auto *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const auto &service : m_parts.services) {
        m_services[service.id] = &service;
    }
    for (const auto &workspace : m_parts.workspaces) {
        m_workspaces[workspace.id] = &workspace;
    }
}

const RouteRule *GatewayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(hostName(host));
    if (it == m_byHost.end()) {
        return nullptr;
    }
    for (const auto *route : it->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const ServiceRule *GatewayConfiguration::findService(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second;
}

const WorkspaceRule *GatewayConfiguration::findWorkspace(std::string_view apiKey) const
{
    const auto it = m_parts.apiKeys.find(apiKey);
    if (it == m_parts.apiKeys.end()) {
        return nullptr;
    }
    const auto workspace = m_workspaces.find(it->second);
    return workspace == m_workspaces.end() ? nullptr : workspace->second;
}

} // namespace mimosahub
