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

/// Hash of text that can be looked up by view.
struct text_hash {
    using is_transparent = void; ///< Allows look-up by string_view.

    /// Hash of the characters.
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>()(text);
    }
};

/// Routes indexed by host and path prefix. A look-up costs one hash probe for each path segment.
struct route_table {
    /// Index into routes by "host\0prefix".
    std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>> byHostAndPrefix;
    std::vector<route> routes; ///< Owned copies.
};

/// Table over the routes of one configuration.
route_table buildRouteTable(std::span<const route> routes);

/// The route with the exact host before any host, then the longest prefix that ends at a segment boundary; null when
/// none matches. host is lower case without port, path is without query. The pointer lives as long as the table.
const route *findRoute(const route_table &table, std::string_view host, std::string_view path);

} // namespace guavafront
