#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavafront
{

/// Hash of one entry with its version; the upper 16 bits are the entry's bucket.
using entry_hash = std::uint64_t;

/// One number for each bucket of a table; equal tables have equal digests.
using table_digest = std::vector<std::uint32_t>;

/// The entries of some buckets, by hash.
struct bucket_summary {
    std::vector<std::uint16_t> buckets; ///< Which buckets.
    std::vector<entry_hash> hashes; ///< All entries in them.
    bool operator==(const bucket_summary &) const = default; ///< Memberwise equality.
};

/// Index of a table's entries by bucket, for anti-entropy repair: digest, then summaries of the buckets that differ,
/// then the entries that the other lacks. After Demers et al. 1987, "Epidemic algorithms for replicated database
/// maintenance", with fixed buckets in place of a tree.
template<class key>
struct digest_index {
    table_digest digest; ///< XOR of the entries' hashes, for each bucket.
    std::vector<std::unordered_map<entry_hash, key>> entries; ///< Keys by hash, for each bucket.

    /// Empty index of bucketCount buckets, 65,536 at most.
    explicit digest_index(std::size_t bucketCount)
        : digest(bucketCount)
        , entries(bucketCount)
    {
    }
};

/// Hash of an entry from the hash of its key and that of its key and version.
template<class key>
entry_hash entryHash(const digest_index<key> &index, std::uint64_t keyHash, std::uint64_t versionHash)
{
    constexpr unsigned bucketShift = 48;
    const std::uint64_t bucket = keyHash % index.digest.size();
    return bucket << bucketShift | versionHash >> (64 - bucketShift);
}

/// Bucket of an entry.
inline std::size_t bucketOf(entry_hash hash)
{
    constexpr unsigned bucketShift = 48;
    return static_cast<std::size_t>(hash >> bucketShift);
}

/// Adds an entry.
template<class key>
void insertEntry(digest_index<key> &index, entry_hash hash, const key &entryKey)
{
    if (index.entries[bucketOf(hash)].emplace(hash, entryKey).second) {
        index.digest[bucketOf(hash)] ^= static_cast<std::uint32_t>(hash);
    }
}

/// Removes an entry.
template<class key>
void eraseEntry(digest_index<key> &index, entry_hash hash)
{
    if (index.entries[bucketOf(hash)].erase(hash) > 0) {
        index.digest[bucketOf(hash)] ^= static_cast<std::uint32_t>(hash);
    }
}

/// Key of an entry; null when unknown or the hash is from outside and names no bucket.
template<class key>
const key *findEntry(const digest_index<key> &index, entry_hash hash)
{
    if (bucketOf(hash) >= index.entries.size()) {
        return nullptr;
    }
    const auto found = index.entries[bucketOf(hash)].find(hash);
    return found == index.entries[bucketOf(hash)].end() ? nullptr : &found->second;
}

/// Summary of the buckets whose digests differ, up to about hashLimit entries, beginning at a bucket of the caller's
/// choice. Empty when nothing differs or the other's table has another number of buckets.
template<class key>
bucket_summary summarizeDifferences(const digest_index<key> &index, std::span<const std::uint32_t> other,
                                    std::size_t firstBucket, std::size_t hashLimit)
{
    bucket_summary summary;
    const std::size_t count = index.digest.size();
    if (other.size() != count) {
        return summary;
    }
    for (std::size_t step = 0; step < count && summary.hashes.size() < hashLimit; ++step) {
        const std::size_t bucket = (firstBucket + step) % count;
        if (other[bucket] != index.digest[bucket]) {
            summary.buckets.push_back(static_cast<std::uint16_t>(bucket));
            for (const auto &[hash, entryKey] : index.entries[bucket]) {
                summary.hashes.push_back(hash);
            }
        }
    }
    return summary;
}

/// What to do about another table's summary.
template<class key>
struct repair_plan {
    std::vector<key> keysToSend; ///< Own entries that the other lacks.
    std::vector<entry_hash> hashesToRequest; ///< The other's entries that this table lacks.
};

/// Compares another table's summary with this one.
template<class key>
repair_plan<key> planRepair(const digest_index<key> &index, const bucket_summary &other)
{
    repair_plan<key> plan;
    const std::unordered_set<entry_hash> known(other.hashes.begin(), other.hashes.end());
    for (const std::uint16_t bucket : other.buckets) {
        if (bucket >= index.entries.size()) {
            continue;
        }
        for (const auto &[hash, entryKey] : index.entries[bucket]) {
            if (!known.contains(hash)) {
                plan.keysToSend.push_back(entryKey);
            }
        }
    }
    for (const entry_hash hash : other.hashes) {
        if (!findEntry(index, hash)) {
            plan.hashesToRequest.push_back(hash);
        }
    }
    return plan;
}

} // namespace guavafront
