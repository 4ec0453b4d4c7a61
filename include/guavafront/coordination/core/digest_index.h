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

/// Hash of one entry and its version; the upper 16 bits are the number of the entry's bucket.
using entry_hash = std::uint64_t;

/// Digest of a table: one number for each bucket. Equal tables have equal digests.
using table_digest = std::vector<std::uint32_t>;

/// Hashes of all entries in some buckets of a table.
struct bucket_summary {
    std::vector<std::uint16_t> buckets; ///< Numbers of the buckets.
    std::vector<entry_hash> hashes; ///< Hashes of all entries in these buckets.
    bool operator==(const bucket_summary &) const = default; ///< Memberwise equality.
};

/// Index of a table's entries by bucket, for anti-entropy repair between two replicas of the table: they exchange
/// digests, then summaries of the buckets that differ, then the entries that the other one lacks. After Demers et al.,
/// "Epidemic algorithms for replicated database maintenance", 1987, with fixed buckets instead of a tree.
template<class key>
struct digest_index {
    table_digest digest; ///< XOR of the lower 32 bits of the entries' hashes, for each bucket.
    std::vector<std::unordered_map<entry_hash, key>> entries; ///< Keys of the entries by hash, for each bucket.

    /// Empty index with bucketCount buckets, 65,536 at most.
    explicit digest_index(std::size_t bucketCount)
        : digest(bucketCount)
        , entries(bucketCount)
    {
    }
};

/// Hash of an entry, made of the hash of its key, which chooses the bucket, and the hash of its key and version.
template<class key>
entry_hash entryHash(const digest_index<key> &index, std::uint64_t keyHash, std::uint64_t versionHash)
{
    constexpr unsigned bucketShift = 48;
    const std::uint64_t bucket = keyHash % index.digest.size();
    return bucket << bucketShift | versionHash >> (64 - bucketShift);
}

/// Number of the bucket of an entry.
inline std::size_t bucketOf(entry_hash hash)
{
    constexpr unsigned bucketShift = 48;
    return static_cast<std::size_t>(hash >> bucketShift);
}

/// Adds an entry; no effect when it is there already.
template<class key>
void insertEntry(digest_index<key> &index, entry_hash hash, const key &entryKey)
{
    if (index.entries[bucketOf(hash)].emplace(hash, entryKey).second) {
        index.digest[bucketOf(hash)] ^= static_cast<std::uint32_t>(hash);
    }
}

/// Removes an entry; no effect when it isn't there.
template<class key>
void eraseEntry(digest_index<key> &index, entry_hash hash)
{
    if (index.entries[bucketOf(hash)].erase(hash) > 0) {
        index.digest[bucketOf(hash)] ^= static_cast<std::uint32_t>(hash);
    }
}

/// Key of an entry; null when the entry is unknown, or when a hash received from outside names no bucket.
template<class key>
const key *findEntry(const digest_index<key> &index, entry_hash hash)
{
    if (bucketOf(hash) >= index.entries.size()) {
        return nullptr;
    }
    const auto found = index.entries[bucketOf(hash)].find(hash);
    return found == index.entries[bucketOf(hash)].end() ? nullptr : &found->second;
}

/// Summary of the buckets whose digests differ from those of the other table, beginning at firstBucket and ending with
/// the bucket that reaches hashLimit entries. Empty when nothing differs or the other table has another number of
/// buckets.
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

/// What to exchange with another replica of the table.
template<class key>
struct repair_plan {
    std::vector<key> keysToSend; ///< Keys of the entries that the other table lacks.
    std::vector<entry_hash> hashesToRequest; ///< Hashes of the other table's entries that this table lacks.
};

/// Compares another table's summary with this table.
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
