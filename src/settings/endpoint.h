#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavafront
{

/// Socket address: numeric IP address and TCP port.
struct endpoint {
    std::string ip; ///< IPv4 in dotted form, or IPv6 without brackets; empty when no address is set.
    std::uint16_t port = 0; ///< TCP port; 0 lets the operating system choose a free one.

    /// Compares the text of the IP address, then the port.
    auto operator<=>(const endpoint &) const = default;
};

/// Parses text such as "1.2.3.4:80" or "[::1]:80"; returns nothing for any other form. Host names are not resolved.
std::optional<endpoint> parseEndpoint(std::string_view text);

/// Formats an address as text that parseEndpoint() accepts.
std::string toText(const endpoint &address);

} // namespace guavafront
