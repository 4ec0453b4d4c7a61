#include "http/message_check.h"

#include <algorithm>
#include <charconv>

namespace guavafront
{

namespace
{

constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::string_view unreservedPunctuation = "-._~";
constexpr std::size_t percentEncodingLength = 3;
constexpr int hexadecimal = 16;

bool isDigit(char letter)
{
    return letter >= '0' && letter <= '9';
}

bool isAlphanumeric(char letter)
{
    return isDigit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
}

bool isTokenCharacter(char letter)
{
    return isAlphanumeric(letter) || tokenPunctuation.find(letter) != std::string_view::npos;
}

bool isControl(char letter)
{
    const auto code = static_cast<unsigned char>(letter);
    return (code < 0x20 && letter != '\t') || code == 0x7f;
}

bool isVisibleAscii(char letter)
{
    return letter > 0x20 && letter < 0x7f;
}

bool isHostCharacter(char letter)
{
    return isAlphanumeric(letter) || std::string_view("-._~%!$&'()*+,;=[]:").find(letter) != std::string_view::npos;
}

/// Byte that the percent encoding at the start of text stands for; -1 when it is invalid.
int decodePercentEncoding(std::string_view text)
{
    if (text.size() < percentEncodingLength) {
        return -1;
    }
    unsigned code = 0;
    const char *const end = text.data() + percentEncodingLength;
    const auto [rest, failure] = std::from_chars(text.data() + 1, end, code, hexadecimal);
    return failure == std::errc() && rest == end ? static_cast<int>(code) : -1;
}

/// Whether all upstreams interpret the path alike: no dot segments and no empty segments before the last.
bool segmentsWellFormed(std::string_view path)
{
    std::size_t start = 1;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string_view segment = path.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        start = end + 1;
    }
    return true;
}

std::size_t countFields(std::span<const header_view> headers, std::string_view name)
{
    const auto count =
        std::ranges::count_if(headers, [name](const header_view &field) { return sameFieldName(field.name, name); });
    return static_cast<std::size_t>(count);
}

} // namespace

bool fieldsWellFormed(std::span<const header_view> headers)
{
    return std::ranges::all_of(headers, [](const header_view &field) {
        return !field.name.empty() && std::ranges::all_of(field.name, isTokenCharacter)
               && std::ranges::none_of(field.value, isControl);
    });
}

bool framingWellFormed(std::span<const header_view> headers)
{
    const std::size_t lengths = countFields(headers, "Content-Length");
    const std::size_t codings = countFields(headers, "Transfer-Encoding");
    if (lengths + codings > 1) {
        return false;
    }
    if (codings == 1) {
        return sameFieldName(headerValue(headers, "Transfer-Encoding"), "chunked");
    }
    const std::string_view length = headerValue(headers, "Content-Length");
    return lengths == 0 || (!length.empty() && std::ranges::all_of(length, isDigit));
}

bool framingPresent(std::span<const header_view> headers)
{
    return countFields(headers, "Content-Length") + countFields(headers, "Transfer-Encoding") > 0;
}

bool hostWellFormed(std::span<const header_view> headers)
{
    const std::string_view host = headerValue(headers, "Host");
    return countFields(headers, "Host") == 1 && !host.empty() && std::ranges::all_of(host, isHostCharacter);
}

bool targetWellFormed(std::string_view target)
{
    return !target.empty() && std::ranges::all_of(target, isVisibleAscii);
}

std::string normalizeHost(std::string_view host)
{
    const std::size_t addressEnd = host.starts_with('[') ? host.find(']') : 0;
    const std::size_t port = addressEnd == std::string_view::npos ? addressEnd : host.find(':', addressEnd);
    std::string name(host.substr(0, port));
    std::ranges::transform(name, name.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return name;
}

std::optional<std::string> normalizePath(std::string_view path)
{
    if (!path.starts_with('/')) {
        return std::nullopt;
    }
    std::string normalized;
    normalized.reserve(path.size());
    for (std::size_t at = 0; at < path.size(); ++at) {
        if (path[at] != '%') {
            normalized += path[at];
            continue;
        }
        const int code = decodePercentEncoding(path.substr(at));
        const char letter = static_cast<char>(code);
        if (code <= 0 || letter == '/' || letter == '\\') {
            return std::nullopt;
        }
        if (isAlphanumeric(letter) || unreservedPunctuation.find(letter) != std::string_view::npos) {
            normalized += letter;
        } else {
            normalized += path.substr(at, percentEncodingLength);
        }
        at += percentEncodingLength - 1;
    }
    if (normalized.find('\\') != std::string::npos || !segmentsWellFormed(normalized)) {
        return std::nullopt;
    }
    return normalized;
}

} // namespace guavafront
