#include "settings/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace guavafront
{

namespace
{

bool isAddress(int family, const std::string &ip)
{
    in6_addr binary{};
    return inet_pton(family, ip.c_str(), &binary) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const std::string ip(host);
    if (!port || !isAddress(bracketed ? AF_INET6 : AF_INET, ip)) {
        return std::nullopt;
    }
    return endpoint{.ip = ip, .port = *port};
}

std::string toText(const endpoint &address)
{
    const bool bracketed = address.ip.find(':') != std::string::npos;
    return (bracketed ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

} // namespace guavafront
