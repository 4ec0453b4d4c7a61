#include "daemon/entry/caller_dialect.h"

#include "http/header_filter.h"
#include "http/retry_after.h"

#include <sodium.h>
#include <xxhash.h>

namespace guavafront
{

namespace
{

constexpr std::string_view notRunHeader = "X-Guavafront-Not-Run";
constexpr std::string_view accountHeader = "X-Guavafront-Account";
constexpr std::string_view deadlineHeader = "X-Guavafront-Deadline-Ms";

request_head nativeHeadOf(const http_request &request)
{
    return {.id = {},
            .method = request.method,
            .host = request.host,
            .path = request.path,
            .key = hashOfKey(callerKey(request.headers)),
            .idempotencyKey = headerValue(request.headers, "Idempotency-Key"),
            .digest = digestOf(request),
            .bodyBytes = static_cast<std::uint32_t>(request.body.size()),
            .keyInContent = contentHoldsKey(request, callerKey(request.headers))};
}

/// Returns the caller's header fields without the caller's key and identity, followed by the fields that guavafront
/// adds.
std::vector<http_header> nativeUpstreamHeaders(const http_request &request, const start_attempt &effect,
                                               duration timeLeft)
{
    std::vector<http_header> headers = upstreamHeaders(request.headers, callerKey(request.headers));
    if (!effect.accountName.empty()) {
        headers.push_back({std::string(accountHeader), effect.accountName});
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    headers.push_back({std::string(deadlineHeader), std::to_string(milliseconds)});
    return headers;
}

std::string nativeUpstreamTarget(const http_request &request)
{
    const std::string query = upstreamQuery(request.query, callerKey(request.headers));
    std::string target(request.path);
    if (!query.empty()) {
        target += "?" + query;
    }
    return target;
}

constexpr int statusUnavailable = 503;

attempt_outcome classifyNativeAnswer(const http_answer &answer)
{
    const bool notRun = headerValue(viewsOf(answer.headers), notRunHeader) == "true";
    return notRun ? attempt_outcome::RefusedNotRun : attempt_outcome::Answered;
}

answer_metadata nativeMetadataOf(const http_answer &answer)
{
    answer_metadata metadata;
    if (answer.status == statusUnavailable && classifyNativeAnswer(answer) == attempt_outcome::RefusedNotRun) {
        metadata.requestedPause =
            retryAfterOf(headerValue(viewsOf(answer.headers), "Retry-After")).value_or(duration());
    }
    return metadata;
}

} // namespace

std::optional<key_hash> hashOfKey(std::string_view key)
{
    if (key.empty()) {
        return std::nullopt;
    }
    key_hash hash;
    crypto_hash_sha256(reinterpret_cast<unsigned char *>(hash.data()),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size());
    return hash;
}

request_digest digestOf(const http_request &request)
{
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    for (const std::string_view part : {request.method, request.host, request.path, request.query}) {
        const std::uint64_t size = part.size();
        XXH3_128bits_update(state, &size, sizeof size);
        XXH3_128bits_update(state, part.data(), part.size());
    }
    XXH3_128bits_update(state, request.body.data(), request.body.size());
    const XXH128_hash_t digest = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    return {.high = digest.high64, .low = digest.low64};
}

caller_dialect nativeDialect()
{
    return {.headOf = nativeHeadOf,
            .upstreamHeaders = nativeUpstreamHeaders,
            .upstreamTarget = nativeUpstreamTarget,
            .echoedField = [](const http_request &) { return http_header{}; },
            .requestId = [](const http_request &request) { return headerValue(request.headers, "X-Request-Id"); },
            .classifyAnswer = classifyNativeAnswer,
            .metadataOf = nativeMetadataOf,
            .callerHeaders = [](std::span<const header_view> headers) { return callerHeaders(headers); },
            .refusalAnswer = refusalAnswer};
}

} // namespace guavafront
