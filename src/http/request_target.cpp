#include "http/request_target.h"

#include "http/message_check.h"

#include <algorithm>

namespace guavafront
{

namespace
{

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

std::optional<request_target> parseRequestTarget(std::string_view target, std::span<const header_view> fields)
{
    if (!targetWellFormed(target) || !hostWellFormed(fields)) {
        return std::nullopt;
    }
    std::string_view authority = headerValue(fields, "Host");
    constexpr std::string_view scheme = "http://";
    std::string_view path = pathOf(target);
    if (target.starts_with(scheme)) { // RFC 9112 section 3.2.2: the authority of the target overrides Host.
        const std::string_view rest = target.substr(scheme.size());
        const std::size_t slash = std::min(rest.find('/'), rest.size());
        authority = rest.substr(0, slash);
        path = pathOf(slash < rest.size() ? rest.substr(slash) : std::string_view("/"));
    }
    std::optional<std::string> normalizedPath = normalizePath(path);
    if (!normalizedPath) {
        return std::nullopt;
    }
    return request_target{.host = normalizeHost(authority), .path = std::move(*normalizedPath)};
}

} // namespace guavafront
