#pragma once

#include "http/http_message.h"

#include <guavafront/coordination/core/refusal.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Key that the caller presents in X-Api-Key or as a bearer token; empty when there is none.
std::string_view callerKey(std::span<const header_view> headers);

/// Whether a header, query parameter or cookie of this name is a place for a caller's key.
bool isCallerKeyName(std::string_view name);

/// Header fields that go upstream: without hop-by-hop fields and those that Connection names (RFC 9110 section
/// 7.6.1), framing, callers' keys in any place, and identity fields, which only the fleet may set. A field or cookie
/// whose value holds key, the one that the caller presented, is dropped whatever its name; key may be empty.
std::vector<http_header> upstreamHeaders(std::span<const header_view> headers, std::string_view key);

/// Query that goes upstream: without parameters that hold a caller's key, by name or by value.
std::string upstreamQuery(std::string_view query, std::string_view key);

/// Whether the key that the caller presented, plain or percent-encoded, stands in the host, path or body, where it
/// can't be removed without changing the request; key may be empty.
bool contentHoldsKey(const http_request &request, std::string_view key);

/// Header fields of an answer that go back to the caller: without hop-by-hop fields and framing.
std::vector<http_header> callerHeaders(std::span<const header_view> headers);

/// Answer that tells the caller of a refusal, as problem details (RFC 9457).
http_answer refusalAnswer(const refusal &reason);

} // namespace guavafront
