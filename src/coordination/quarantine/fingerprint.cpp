#include <guavafront/coordination/quarantine/fingerprint.h>

#include <xxhash.h>

namespace guavafront
{

namespace
{

std::uint64_t hashOf(const void *bytes, std::size_t size, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes, size, seed);
}

} // namespace

request_fingerprint fingerprintOf(account_id account, route_id route, std::string_view method, std::string_view target,
                                  std::span<const std::byte> body)
{
    const std::uint64_t owner = (std::uint64_t{account.value} << 32) | route.value;
    std::uint64_t hash = hashOf(method.data(), method.size(), owner);
    hash = hashOf(target.data(), target.size(), hash);
    hash = hashOf(body.data(), body.size(), hash);
    return {hash == 0 ? 1 : hash};
}

} // namespace guavafront
