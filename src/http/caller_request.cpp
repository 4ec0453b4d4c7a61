#include "http/caller_request.h"

#include "http/status_text.h"

#include <algorithm>
#include <array>

namespace guavafront
{

std::string_view caller_request::query() const
{
    const std::string_view target = message.target;
    const std::size_t mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

std::string_view caller_request::rawPath() const
{
    const std::string_view target = message.target;
    return target.substr(0, target.find('?'));
}

bool caller_request::isSafe() const
{
    constexpr std::array<std::string_view, 3> safeMethods{"GET", "HEAD", "OPTIONS"};
    return std::ranges::find(safeMethods, message.method) != safeMethods.end();
}

std::size_t caller_request::heldBytes() const
{
    return message.body.capacity() + (answer ? answer->reply.body.capacity() : 0);
}

std::string encodeAnswer(const http_answer &reply, std::string_view method, bool close)
{
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    std::string text =
        "HTTP/1.1 " + std::to_string(reply.status) + ' ' + std::string(statusText(reply.status)) + "\r\n";
    for (const http_header &field : reply.headers) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    const bool bodiless = reply.status == statusNoContent || reply.status == statusNotModified;
    if (!bodiless) {
        text.append("Content-Length: ").append(std::to_string(reply.body.size())).append("\r\n");
    }
    if (close) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
    if (!bodiless && method != "HEAD") {
        text.append(textOf(reply.body));
    }
    return text;
}

} // namespace guavafront
