#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Header field whose texts are views into a message.
struct header_view {
    std::string_view name; ///< Field name as sent; names are compared with sameFieldName().
    std::string_view value; ///< Field value without surrounding white space.
};

/// Header field that owns its text.
struct http_header {
    std::string name; ///< Field name.
    std::string value; ///< Field value.

    /// Memberwise equality.
    bool operator==(const http_header &) const = default;
};

/// Request as views, which are valid until the request is answered or its caller has disconnected.
struct http_request {
    std::string_view method; ///< Method in upper case.
    std::string_view host; ///< Host in lower case, without the port.
    std::string_view path; ///< Path as normalizePath() returns it; starts with '/'.
    std::string_view query; ///< Query without the '?'; empty when there is none.
    std::string_view rawPath; ///< Path as the caller sent it, without the query.
    std::span<const header_view> headers; ///< Header fields in the order received.
    std::span<const std::byte> body; ///< Complete body, without chunked coding.
};

/// Complete answer to a request.
struct http_answer {
    int status = 0; ///< Status code, 200 to 599.
    std::vector<http_header> headers; ///< Header fields, without framing and hop-by-hop fields unless stated otherwise.
    std::vector<std::byte> body; ///< Complete body, without chunked coding.

    /// Memberwise equality.
    bool operator==(const http_answer &) const = default;
};

/// Value of the first field of this name, compared without case. A view with null data when there is no such field,
/// unlike the view of a field that is present and empty.
std::string_view headerValue(std::span<const header_view> headers, std::string_view name);

/// Whether two texts are equal when the case of ASCII letters is ignored, as in field names.
bool sameFieldName(std::string_view left, std::string_view right);

/// Views of the given header fields, valid while headers exists unchanged.
std::vector<header_view> viewsOf(std::span<const http_header> headers);

/// View of the bytes of a text.
std::span<const std::byte> bytesOf(std::string_view text);

/// View of some bytes as text.
std::string_view textOf(std::span<const std::byte> bytes);

} // namespace guavafront
