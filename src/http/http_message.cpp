#include "http/http_message.h"

#include <algorithm>

namespace guavafront
{

namespace
{

char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool sameFieldName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lowerCase, lowerCase);
}

std::string_view headerValue(std::span<const header_view> headers, std::string_view name)
{
    const auto found =
        std::ranges::find_if(headers, [name](const header_view &field) { return sameFieldName(field.name, name); });
    return found == headers.end() ? std::string_view() : found->value;
}

std::vector<header_view> viewsOf(std::span<const http_header> headers)
{
    std::vector<header_view> views;
    views.reserve(headers.size());
    for (const http_header &field : headers) {
        views.push_back({.name = field.name, .value = field.value});
    }
    return views;
}

std::span<const std::byte> bytesOf(std::string_view text)
{
    return std::as_bytes(std::span(text));
}

std::string_view textOf(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace guavafront
