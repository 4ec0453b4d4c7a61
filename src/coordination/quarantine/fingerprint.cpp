#include <guavafront/coordination/quarantine/fingerprint.h>

#include <xxhash.h>

#include <array>

namespace guavafront
{

request_fingerprint fingerprintOf(account_id account, route_id route, const request_digest &digest)
{
    const std::array<std::uint64_t, 4> parts{account.value, route.value, digest.high, digest.low};
    const std::uint64_t hash = XXH3_64bits(parts.data(), sizeof parts);
    return {hash == 0 ? 1 : hash};
}

} // namespace guavafront
