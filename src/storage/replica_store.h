#pragma once

#include "storage/file.h"
#include "wire/replication_codec.h"

#include <guavafront/coordination/replication/replica.h>

#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// Keeps the durable state of a replica in a journal in a data folder. The first frame of the journal holds a whole
/// state, each later frame the writes of one sync(). Writing a snapshot starts a new journal, which replaces the old
/// one by a rename. A lock file keeps a second process from opening the folder.
class replica_store
{
public:
    /// Opens the journal of the folder. A folder without a journal gets a new one, which holds freshIdentity and
    /// belongs to no cluster yet. An incomplete last frame is cut off. Throws coordination_error (StoreCorrupt,
    /// StoreVersionUnknown, StoreFull, FileUnreadable; the last also when another process uses the folder).
    replica_store(std::string folder, vm_id freshIdentity);

    /// Returns the identity of the VM, which stays the same as long as the data folder exists.
    vm_id self() const;

    /// Returns the state including writes that are not synced yet.
    const stored_state &state() const;

    /// Applies a write to state(); the next sync() stores it on the disk.
    void write(storage_write write);

    /// Stores all writes since the last sync on the disk and returns when they are durable. Throws coordination_error
    /// (StoreFull, FileUnreadable); after an exception only hasRoom() may be called.
    void sync();

    /// Whether the disk has room for further writes, found out by a write beside the journal.
    bool hasRoom() const;

    /// Returns the size of the journal in bytes, without writes that are not synced yet.
    std::uint64_t size() const;

    /// Creates the journal of a VM that founds a new cluster together with others; founders must contain self. Throws
    /// coordination_error: SubjectExists when the folder already holds a journal of a cluster or of another VM, and the
    /// codes of the constructor.
    static void bootstrap(const std::string &folder, vm_id self, cluster_id cluster, std::span<const vm_id> founders);

    /// Returns whether the folder holds a journal that is not empty.
    static bool hasJournal(const std::string &folder);

private:
    void load();
    void rewriteJournal();
    void replay(std::span<const std::byte> frame);
    std::string path(const char *name) const;

    std::string m_folder; ///< Path of the data folder.
    file m_lock; ///< Lock file, locked while the store is open.
    file m_journal; ///< Open journal file.
    std::uint64_t m_size = 0; ///< Size of the header and all valid frames, in bytes; the next frame starts here.
    vm_id m_self; ///< Identity of the VM, as stored in the journal.
    stored_state m_state; ///< State in the journal with m_unsynced applied.
    std::vector<storage_write> m_unsynced; ///< Writes since the last sync, in order.
    bool m_rewritePending = false; ///< The next sync replaces the journal by a new one that holds the whole state.
};

} // namespace guavafront
