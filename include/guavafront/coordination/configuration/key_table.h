#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace guavafront
{

/// Keys in force, indexed by the first eight bytes of their hash. Which bucket a look-up probes depends on the hash
/// alone, and a caller can't choose a key whose hash falls next to a stored one without inverting SHA-256.
struct key_table {
    std::unordered_multimap<std::uint64_t, account_key> byPrefix; ///< Copies of the keys, by prefix of their hash.
};

/// Builds the table of the keys of one configuration.
key_table buildKeyTable(std::span<const account_key> keys);

/// Compares two byte strings in a time that doesn't depend on their content. Strings of different lengths are unequal.
bool equalConstantTime(std::span<const std::byte> left, std::span<const std::byte> right);

/// The key with this SHA-256; null when it is unknown or withdrawn. The pointer is valid as long as the table.
const account_key *findKey(const key_table &table, std::span<const std::byte, 32> hash);

} // namespace guavafront
