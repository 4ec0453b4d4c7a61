#include <guavafront/coordination/configuration/key_table.h>

#include <cstring>

namespace guavafront
{

namespace
{

/// First eight bytes of a hash, as the key of the table.
std::uint64_t prefixOf(std::span<const std::byte, 32> hash)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, hash.data(), sizeof prefix);
    return prefix;
}

} // namespace

key_table buildKeyTable(std::span<const account_key> keys)
{
    key_table table;
    table.byPrefix.reserve(keys.size());
    for (const account_key &key : keys) {
        table.byPrefix.emplace(prefixOf(key.hash), key);
    }
    return table;
}

bool equalConstantTime(std::span<const std::byte> left, std::span<const std::byte> right)
{
    if (left.size() != right.size()) {
        return false;
    }
    volatile unsigned difference = 0; // volatile keeps the compiler from leaving the loop early.
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference = difference | std::to_integer<unsigned>(left[i] ^ right[i]);
    }
    return difference == 0;
}

const account_key *findKey(const key_table &table, std::span<const std::byte, 32> hash)
{
    const auto [first, last] = table.byPrefix.equal_range(prefixOf(hash));
    for (auto candidate = first; candidate != last; ++candidate) {
        if (equalConstantTime(candidate->second.hash, hash)) {
            return &candidate->second;
        }
    }
    return nullptr;
}

} // namespace guavafront
