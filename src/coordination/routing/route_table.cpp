#include <guavafront/coordination/routing/route_table.h>

namespace guavafront
{

namespace
{

std::string tableKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    key.append(host);
    key.push_back('\0');
    key.append(prefix);
    return key;
}

/// Returns the path without trailing slashes, so that "/a" and "/a/" are the same; the root becomes "".
std::string_view normalized(std::string_view prefix)
{
    while (prefix.ends_with('/')) {
        prefix.remove_suffix(1);
    }
    return prefix;
}

const route *findForHost(const route_table &table, std::string_view host, std::string_view path)
{
    std::string key = tableKey(host, path);
    const std::size_t pathStart = host.size() + 1;
    auto found = table.byHostAndPrefix.find(key);
    while (found == table.byHostAndPrefix.end()) {
        const std::size_t slash = key.rfind('/');
        if (slash == std::string::npos || slash < pathStart) {
            return nullptr;
        }
        key.resize(slash);
        found = table.byHostAndPrefix.find(key);
    }
    return &table.routes[found->second];
}

} // namespace

route_table buildRouteTable(std::span<const route> routes)
{
    route_table table;
    table.routes.assign(routes.begin(), routes.end());
    for (std::uint32_t index = 0; index < table.routes.size(); ++index) {
        const route &entry = table.routes[index];
        table.byHostAndPrefix.insert_or_assign(tableKey(entry.host, normalized(entry.pathPrefix)), index);
    }
    return table;
}

const route *findRoute(const route_table &table, std::string_view host, std::string_view path)
{
    const std::string_view trimmed = normalized(path);
    if (!host.empty()) {
        if (const route *exact = findForHost(table, host, trimmed)) {
            return exact;
        }
    }
    return findForHost(table, {}, trimmed);
}

} // namespace guavafront
