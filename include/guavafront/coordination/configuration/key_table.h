#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace guavafront
{

/// Keys in force, indexed by the first eight bytes of their hash. Which bucket a look-up probes depends on the hash
/// alone, which a caller can't steer towards a stored one without inverting SHA-256.
struct key_table {
    std::unordered_multimap<std::uint64_t, account_key> byPrefix; ///< Owned copies.
};

/// Table over the keys of one configuration.
key_table buildKeyTable(std::span<const account_key> keys);

/// Compares two byte strings of equal length in a time that doesn't depend on their content; false when lengths differ.
bool equalConstantTime(std::span<const std::byte> left, std::span<const std::byte> right);

/// The key with this SHA-256; null when it is unknown or withdrawn. The pointer lives as long as the table.
const account_key *findKey(const key_table &table, std::span<const std::byte, 32> hash);

} // namespace guavafront
