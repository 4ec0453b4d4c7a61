#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// Hash of strings that allows looking up a std::string by std::string_view.
struct text_hash {
    using is_transparent = void; ///< Enables heterogeneous look-up.

    /// Returns the hash of the characters.
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>()(text);
    }
};

/// Routes indexed by host and path prefix. A look-up costs one hash probe for each path segment, twice when the host
/// has no matching route.
struct route_table {
    /// Indexes into routes, by host, a zero byte and the prefix without trailing slashes; host is empty for any host.
    std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>> byHostAndPrefix;
    std::vector<route> routes; ///< Copies of the configured routes.
};

/// Builds the table of one configuration's routes.
route_table buildRouteTable(std::span<const route> routes);

/// Finds the route with the longest prefix that ends at a segment boundary. Routes of exactly this host go before
/// routes of any host. Returns null when none matches. host is in lower case without the port, path has no query. The
/// pointer is valid as long as the table.
const route *findRoute(const route_table &table, std::string_view host, std::string_view path);

} // namespace guavafront
