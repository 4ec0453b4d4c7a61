#pragma once

#include "http/http_message.h"

#include <guavafront/coordination/core/refusal.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// API key of the caller, taken from X-Api-Key or else from a bearer token in Authorization. Empty when the request
/// carries neither.
std::string_view callerKey(std::span<const header_view> headers);

/// Whether a header field, query parameter or cookie of this name usually carries a caller's API key.
bool isCallerKeyName(std::string_view name);

/// Header fields of a request to forward upstream. Left out are hop-by-hop fields, fields that Connection names (RFC
/// 9110 section 7.6.1), the framing fields, fields and cookies that carry a caller's API key by their name, and the
/// X-Guavafront- fields, which state the caller's identity and may be set only by the fleet. key is the API key that
/// the caller presented, or empty: fields and cookies that contain it are left out whatever their name.
std::vector<http_header> upstreamHeaders(std::span<const header_view> headers, std::string_view key);

/// Query of a request to forward upstream, without the parameters that carry a caller's API key by their name or that
/// contain key, the API key that the caller presented; key may be empty.
std::string upstreamQuery(std::string_view query, std::string_view key);

/// Whether the host, path or body contains key, the API key that the caller presented, plain or percent-encoded. There
/// it can't be removed without changing the request. False when key is empty.
bool contentHoldsKey(const http_request &request, std::string_view key);

/// Header fields of an upstream's answer to forward to the caller, without hop-by-hop fields and framing fields.
std::vector<http_header> callerHeaders(std::span<const header_view> headers);

/// Answer for a refused request, with problem details (RFC 9457) as its body and Retry-After when a delay is known.
http_answer refusalAnswer(const refusal &reason);

} // namespace guavafront
