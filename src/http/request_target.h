#pragma once

#include "http/http_message.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace guavafront
{

/// Where a request goes, in normalized form.
struct request_target {
    std::string host; ///< Host as normalizeHost() returns it.
    std::string path; ///< Path as normalizePath() returns it.
};

/// Reads the request target and the Host field of a request. Nothing if RFC 9112 section 3.2 calls them invalid.
std::optional<request_target> parseRequestTarget(std::string_view target, std::span<const header_view> fields);

} // namespace guavafront
