#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace guavafront
{

/// Hash that stands for a request; the same for a resend, on every VM.
using request_fingerprint = strong_id<struct request_fingerprint_tag>;

/// Fingerprint of a request's account, route, method, target and body. Keys, ids of requests and other headers don't
/// count, since a resend may change them.
request_fingerprint fingerprintOf(account_id account, route_id route, std::string_view method, std::string_view target,
                                  std::span<const std::byte> body);

} // namespace guavafront
