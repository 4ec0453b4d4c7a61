#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/entry/request_head.h>

namespace guavafront
{

/// Hash that identifies a request. It is the same for a resend of the request, and on every VM.
using request_fingerprint = strong_id<struct request_fingerprint_tag>;

/// Fingerprint of a request's account, route, and digest of method, target and body; never 0. Headers are left out,
/// since a resend may change them.
request_fingerprint fingerprintOf(account_id account, route_id route, const request_digest &digest);

} // namespace guavafront
