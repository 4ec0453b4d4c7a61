#include "http/header_filter.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace guavafront
{

namespace
{

constexpr std::string_view bearerScheme = "Bearer ";
constexpr std::string_view identityPrefix = "X-Guavafront-";

/// Fields that concern only one connection, and framing fields, which each connection writes anew.
constexpr std::array<std::string_view, 11> hopByHopFields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Proxy-Authorization",
    "Expect",     "Content-Length",    "HTTP2-Settings",
};

/// Names under which callers send API keys, in lower case without '-', '_' and spaces.
constexpr std::array<std::string_view, 10> keyNames{
    "key",         "apikey",   "xapikey",   "authorization", "accesskey",
    "accesstoken", "apitoken", "authtoken", "xauthtoken",    "xaccesstoken",
};

bool isSpace(char letter)
{
    return letter == ' ' || letter == '\t';
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Calls visit with each part of text between separators, including empty parts.
template<class visitor>
void forEachPart(std::string_view text, char separator, const visitor &visit)
{
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(separator, start), text.size());
        visit(text.substr(start, end - start));
        start = end + 1;
    }
}

/// Text with its percent encodings decoded and invalid ones unchanged, for comparisons only.
std::string percentDecodedText(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned code = 0;
        if (text[at] == '%' && at + 2 < text.size()
            && std::from_chars(text.data() + at + 1, text.data() + at + 3, code, hexadecimal).ptr
                   == text.data() + at + 3) {
            decoded += static_cast<char>(code);
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

bool isHopByHop(std::string_view name)
{
    return std::ranges::any_of(hopByHopFields, [name](std::string_view each) { return sameFieldName(each, name); });
}

/// Names listed in the Connection fields.
std::vector<std::string_view> connectionOptions(std::span<const header_view> headers)
{
    std::vector<std::string_view> options;
    for (const header_view &field : headers) {
        if (sameFieldName(field.name, "Connection")) {
            forEachPart(field.value, ',', [&options](std::string_view option) { options.push_back(trimmed(option)); });
        }
    }
    return options;
}

/// Whether the text contains key, plain or percent-encoded; false when key is empty.
bool holdsKey(std::string_view text, std::string_view key)
{
    if (key.empty()) {
        return false;
    }
    const bool encoded = text.find('%') != std::string_view::npos;
    return text.find(key) != std::string_view::npos
           || (encoded && percentDecodedText(text).find(key) != std::string::npos);
}

/// Value of a Cookie field without the pairs that carry a caller's API key by their name or contain key.
std::string upstreamCookies(std::string_view cookies, std::string_view key)
{
    std::string kept;
    forEachPart(cookies, ';', [&kept, key](std::string_view pair) {
        const std::string_view bare = trimmed(pair);
        if (bare.empty() || isCallerKeyName(trimmed(bare.substr(0, bare.find('=')))) || holdsKey(bare, key)) {
            return;
        }
        kept += kept.empty() ? "" : "; ";
        kept += bare;
    });
    return kept;
}

std::vector<http_header> endToEndHeaders(std::span<const header_view> headers)
{
    const std::vector<std::string_view> options = connectionOptions(headers);
    std::vector<http_header> kept;
    for (const header_view &field : headers) {
        const bool named = std::ranges::any_of(
            options, [&field](std::string_view option) { return sameFieldName(option, field.name); });
        if (!named && !isHopByHop(field.name)) {
            kept.push_back({.name = std::string(field.name), .value = std::string(field.value)});
        }
    }
    return kept;
}

std::string problemBody(const refusal &reason, const result_code_row &row)
{
    std::string body = R"({"type":"about:blank","title":")";
    body += row.meaning;
    body += R"(","status":)" + std::to_string(row.httpStatus);
    body += R"(,"code":)" + std::to_string(static_cast<unsigned>(row.code));
    body += R"(,"name":")";
    body += row.name;
    body += R"(","not_run":)";
    body += reason.ran == execution::NotRun ? "true" : "false";
    if (reason.retryAfter > duration::zero()) {
        body += R"(,"retry_after_ms":)"
                + std::to_string(std::chrono::ceil<std::chrono::milliseconds>(reason.retryAfter).count());
    }
    return body + "}\n";
}

} // namespace

std::string_view callerKey(std::span<const header_view> headers)
{
    const std::string_view key = headerValue(headers, "X-Api-Key");
    if (!key.empty()) {
        return key;
    }
    const std::string_view credentials = headerValue(headers, "Authorization");
    if (sameFieldName(credentials.substr(0, bearerScheme.size()), bearerScheme)) {
        return trimmed(credentials.substr(bearerScheme.size()));
    }
    return {};
}

bool isCallerKeyName(std::string_view name)
{
    std::string plain = percentDecodedText(name);
    std::erase_if(plain, [](char letter) { return letter == '-' || letter == '_' || letter == ' '; });
    return std::ranges::any_of(keyNames, [&plain](std::string_view each) { return sameFieldName(each, plain); });
}

std::vector<http_header> upstreamHeaders(std::span<const header_view> headers, std::string_view key)
{
    std::vector<http_header> kept = endToEndHeaders(headers);
    for (http_header &field : kept) {
        if (sameFieldName(field.name, "Cookie")) {
            field.value = upstreamCookies(field.value, key);
        }
    }
    std::erase_if(kept, [key](const http_header &field) {
        const std::string_view prefix = std::string_view(field.name).substr(0, identityPrefix.size());
        return isCallerKeyName(field.name) || sameFieldName(prefix, identityPrefix) || holdsKey(field.value, key)
               || holdsKey(field.name, key) || (field.value.empty() && sameFieldName(field.name, "Cookie"));
    });
    return kept;
}

std::string upstreamQuery(std::string_view query, std::string_view key)
{
    std::string kept;
    forEachPart(query, '&', [&kept, key](std::string_view pair) {
        if (pair.empty() || isCallerKeyName(pair.substr(0, pair.find('='))) || holdsKey(pair, key)) {
            return;
        }
        kept += kept.empty() ? "" : "&";
        kept += pair;
    });
    return kept;
}

bool contentHoldsKey(const http_request &request, std::string_view key)
{
    return holdsKey(request.host, key) || holdsKey(request.path, key) || holdsKey(textOf(request.body), key);
}

std::vector<http_header> callerHeaders(std::span<const header_view> headers)
{
    return endToEndHeaders(headers);
}

http_answer refusalAnswer(const refusal &reason)
{
    const result_code_row &row = describe(reason.code);
    const std::string body = problemBody(reason, row);
    http_answer answer{.status = row.httpStatus, .headers = {}, .body = {}};
    answer.headers.push_back({.name = "Content-Type", .value = "application/problem+json"});
    if (reason.retryAfter > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(reason.retryAfter).count();
        answer.headers.push_back({.name = "Retry-After", .value = std::to_string(seconds)});
    }
    const std::span<const std::byte> bytes = bytesOf(body);
    answer.body.assign(bytes.begin(), bytes.end());
    return answer;
}

} // namespace guavafront
