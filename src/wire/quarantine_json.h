#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/quarantine/quarantine.h>

#include <span>
#include <string>
#include <string_view>

namespace guavafront
{

/// Formats the fingerprint of a request as 16 hexadecimal digits.
std::string toHex(request_fingerprint request);

/// Encodes the requests in quarantine as {"held": [{"request": HEX, "account": NAME, "host": HOST, "path_prefix":
/// PREFIX, "deaths": [HEX...]}]}. The account, host and path_prefix come from the current configuration; they are null
/// when it no longer has the account or the route. "deaths" lists the instances whose deaths have not been forgiven.
std::string toJson(std::span<const death_record> held, const configuration &current);

/// Makes {"request": HEX}, the body of an operator's request to release a request from quarantine.
std::string releaseJson(request_fingerprint request);

/// Parses what releaseJson() wrote. Throws coordination_error (ChangeInvalid).
request_fingerprint parseReleaseJson(std::string_view text);

/// Parses what toHex() wrote. Throws coordination_error (ChangeInvalid).
request_fingerprint parseFingerprint(std::string_view hex);

} // namespace guavafront
