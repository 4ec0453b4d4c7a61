#pragma once

#include "http/http_message.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace guavafront
{

/// Whether each field name is a token and no field value contains a control character other than a tab (RFC 9110
/// sections 5.1 and 5.5).
bool fieldsWellFormed(std::span<const header_view> headers);

/// Whether the length of the body is unambiguous (RFC 9112 section 6.3): no framing field, or exactly one, which is
/// either a Content-Length of digits only or Transfer-Encoding: chunked.
bool framingWellFormed(std::span<const header_view> headers);

/// Whether there is a Content-Length or Transfer-Encoding field.
bool framingPresent(std::span<const header_view> headers);

/// Whether there is exactly one Host field and it contains only characters of a host name, an IP address and a port
/// (RFC 9112 section 3.2).
bool hostWellFormed(std::span<const header_view> headers);

/// Whether a request target is not empty and contains only visible ASCII characters.
bool targetWellFormed(std::string_view target);

/// Host in lower case, without the port.
std::string normalizeHost(std::string_view host);

/// Path with percent-encoded unreserved characters decoded, so that each resource has one spelling when routes are
/// matched (RFC 3986 section 6.2.2). Returns no value for a path with dot segments, empty segments before the last,
/// backslashes, invalid percent encodings, or encoded slashes, backslashes or NULs: an upstream might read such a path
/// differently from the one that the route was matched with.
std::optional<std::string> normalizePath(std::string_view path);

} // namespace guavafront
