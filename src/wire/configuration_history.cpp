#include "wire/configuration_history.h"

#include "wire/configuration_codec.h"

#include <array>
#include <sodium.h>
#include <string_view>

namespace guavafront
{

namespace
{

constexpr std::string_view deltaLabel = "guavafront configuration delta 1";
constexpr std::string_view snapshotLabel = "guavafront configuration snapshot 1";

const unsigned char *raw(std::span<const std::byte> bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

history_digest keyedDigest(const fleet_secret &secret, std::string_view label, const held_revision &held,
                           std::span<const std::byte> content)
{
    std::array<std::byte, 8> number{};
    for (std::size_t i = 0; i < number.size(); ++i) {
        number[i] = static_cast<std::byte>(held.atRevision.value >> (8 * i));
    }
    crypto_generichash_state state{};
    history_digest digest{};
    crypto_generichash_init(&state, raw(secret), secret.size(), digest.size());
    const std::span labelBytes = std::as_bytes(std::span(label));
    crypto_generichash_update(&state, raw(labelBytes), labelBytes.size());
    crypto_generichash_update(&state, raw(number), number.size());
    crypto_generichash_update(&state, raw(held.digest), held.digest.size());
    crypto_generichash_update(&state, raw(content), content.size());
    crypto_generichash_final(&state, reinterpret_cast<unsigned char *>(digest.data()), digest.size());
    return digest;
}

} // namespace

history_digest nextDigest(const fleet_secret &secret, const history_digest &previous, revision at,
                          std::span<const change> changes)
{
    return keyedDigest(secret, deltaLabel, {at, previous}, encodeChanges(changes));
}

history_digest snapshotSeal(const fleet_secret &secret, const held_revision &held, std::span<const std::byte> encoded)
{
    return keyedDigest(secret, snapshotLabel, held, encoded);
}

} // namespace guavafront
