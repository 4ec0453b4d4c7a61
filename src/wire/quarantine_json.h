#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/quarantine/quarantine.h>

#include <span>
#include <string>
#include <string_view>

namespace guavafront
{

/// 16 hexadecimal digits.
std::string toHex(request_fingerprint request);

/// {"held": [{"request": HEX, "account": NAME, "host": HOST, "path_prefix": PREFIX, "deaths": [HEX...]}]}; names are
/// those of the configuration, null for what it no longer has. "deaths" are those not forgiven.
std::string toJson(std::span<const death_record> held, const configuration &current);

/// {"request": HEX}, the body of a release.
std::string releaseJson(request_fingerprint request);

/// Reads releaseJson(). Throws coordination_error (ChangeInvalid).
request_fingerprint parseReleaseJson(std::string_view text);

/// Reads toHex(). Throws coordination_error (ChangeInvalid).
request_fingerprint parseFingerprint(std::string_view hex);

} // namespace guavafront
