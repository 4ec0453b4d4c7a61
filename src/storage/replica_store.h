#pragma once

#include "storage/file.h"
#include "wire/replication_codec.h"

#include <guavafront/coordination/replication/replica.h>

#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// A replica's durable state in one data folder: a journal whose first frame is a whole state and whose later ones are
/// the writes since. A snapshot begins a new journal, which replaces the old one by a rename. One process at a time.
class replica_store
{
public:
    /// Opens the folder's journal. An empty folder gets one with the given identity, that belongs to no cluster yet.
    /// Throws coordination_error (StoreCorrupt, StoreVersionUnknown, StoreFull, FileUnreadable).
    replica_store(std::string folder, vm_id freshIdentity);

    /// Identity of the VM, as long as the data folder lives.
    vm_id self() const;

    /// What the disk holds once everything written is synced.
    const stored_state &state() const;

    /// Takes a write; it reaches the disk with the next sync(). Throws as above, after which the store is unusable.
    void write(storage_write write);

    /// Returns once everything written is on the disk.
    void sync();

    /// Bytes of the journal.
    std::uint64_t size() const;

    /// Creates the journal of a founder of a new cluster; self is one of founders. Throws SubjectExists when the folder
    /// has one.
    static void bootstrap(const std::string &folder, vm_id self, cluster_id cluster, std::span<const vm_id> founders);

    /// Whether the folder holds a journal.
    static bool hasJournal(const std::string &folder);

private:
    void load();
    void rewriteJournal();
    void replay(std::span<const std::byte> frame);
    std::string path(const char *name) const;

    std::string m_folder; ///< Data folder.
    file m_lock; ///< Locked while the store is open.
    file m_journal; ///< The current journal.
    std::uint64_t m_size = 0; ///< Bytes of the journal that are whole.
    vm_id m_self; ///< Identity of the VM.
    stored_state m_state; ///< What the journal adds up to.
    std::vector<storage_write> m_unsynced; ///< Written since the last sync.
    bool m_rewritePending = false; ///< The next sync begins a new journal.
};

} // namespace guavafront
