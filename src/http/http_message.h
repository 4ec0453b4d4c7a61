#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Header field as a view into a message.
struct header_view {
    std::string_view name; ///< As sent; compare without case.
    std::string_view value; ///< Without surrounding white space.
};

/// Header field that owns its text.
struct http_header {
    std::string name; ///< Field name.
    std::string value; ///< Field value.

    /// Memberwise equality.
    bool operator==(const http_header &) const = default;
};

/// Request as views; they live until the exchange is answered or its caller has gone.
struct http_request {
    std::string_view method; ///< In capitals.
    std::string_view host; ///< Lower case without port.
    std::string_view path; ///< Normalized, starts with '/'.
    std::string_view query; ///< Without '?'; empty when there is none.
    std::string_view rawPath; ///< Path as it was sent.
    std::span<const header_view> headers; ///< In the order received.
    std::span<const std::byte> body; ///< The whole body.
};

/// Answer to a request, whole.
struct http_answer {
    int status = 0; ///< 200 to 599.
    std::vector<http_header> headers; ///< Without framing and hop-by-hop fields.
    std::vector<std::byte> body; ///< The whole body.

    /// Memberwise equality.
    bool operator==(const http_answer &) const = default;
};

/// Value of the first field with the name, compared without case; empty view with null data when there is none.
std::string_view headerValue(std::span<const header_view> headers, std::string_view name);

/// Whether two field names are the same, without case.
bool sameFieldName(std::string_view left, std::string_view right);

/// Views of owned header fields; they live as long as headers.
std::vector<header_view> viewsOf(std::span<const http_header> headers);

/// The bytes of a text.
std::span<const std::byte> bytesOf(std::string_view text);

/// The text of some bytes.
std::string_view textOf(std::span<const std::byte> bytes);

} // namespace guavafront
