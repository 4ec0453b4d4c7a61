#include "storage/replica_store.h"

#include "storage/journal.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <filesystem>
#include <system_error>
#include <utility>

namespace guavafront
{

namespace
{

constexpr const char *lockName = "lock";
constexpr const char *journalName = "journal";
constexpr const char *temporaryJournalName = "journal.new";
/// Bytes that are written to find out whether the disk has room: many times a usual write.
constexpr std::size_t roomSampleBytes = std::size_t{64} * 1024;

/// Creates the folder if it is missing, and returns its path.
std::string createFolder(std::string folder)
{
    std::error_code ignored; // A failure is reported when the files in the folder are opened.
    std::filesystem::create_directory(folder, ignored);
    return folder;
}

} // namespace

replica_store::replica_store(std::string folder, vm_id freshIdentity)
    : m_folder(createFolder(std::move(folder)))
    , m_lock(path(lockName))
    , m_journal(path(journalName))
    , m_self(freshIdentity)
{
    if (!m_lock.tryLock()) {
        throw coordination_error(result_code::FileUnreadable, "another process uses the data folder " + m_folder);
    }
    load();
}

vm_id replica_store::self() const
{
    return m_self;
}

const stored_state &replica_store::state() const
{
    return m_state;
}

std::uint64_t replica_store::size() const
{
    return m_size;
}

void replica_store::write(storage_write write)
{
    std::visit([this](const auto &value) { applyWrite(m_state, value); }, write);
    m_rewritePending = m_rewritePending || std::holds_alternative<write_snapshot>(write);
    m_unsynced.push_back(std::move(write));
}

void replica_store::sync()
{
    if (m_unsynced.empty()) {
        return;
    }
    if (m_rewritePending) {
        rewriteJournal();
    } else {
        const std::vector<std::byte> frame = encodeFrame(encodeWrites(m_unsynced));
        m_journal.writeAt(m_size, frame);
        m_journal.sync();
        m_size += frame.size();
    }
    m_unsynced.clear();
    m_rewritePending = false;
}

bool replica_store::hasRoom() const
{
    const std::vector<std::byte> sample(roomSampleBytes);
    try {
        file probe(path(temporaryJournalName));
        try {
            // At the journal's end, so that a limit of the file size shows, too.
            probe.writeAt(m_size, sample);
            probe.sync();
        } catch (const coordination_error &) {
            probe.resize(0);
            return false;
        }
        probe.resize(0);
    } catch (const coordination_error &) {
        return false;
    }
    return true;
}

bool replica_store::hasJournal(const std::string &folder)
{
    std::error_code ignored; // A folder that can't be read is reported when the store opens it.
    const std::uintmax_t size = std::filesystem::file_size(folder + "/" + journalName, ignored);
    return !ignored && size > 0;
}

void replica_store::bootstrap(const std::string &folder, vm_id self, cluster_id cluster,
                              std::span<const vm_id> founders)
{
    replica_store store(folder, self);
    if (store.m_self != self || store.m_state.cluster.value != 0) {
        throw coordination_error(result_code::SubjectExists, "the data folder " + folder + " is in use already");
    }
    store.m_state = bootstrapState(cluster, founders);
    store.rewriteJournal();
}

void replica_store::load()
{
    const std::vector<std::byte> bytes = m_journal.readAll();
    if (bytes.empty()) {
        rewriteJournal();
        return;
    }
    const journal_content content = readJournal(bytes);
    if (content.frames.empty()) {
        throw coordination_error(result_code::StoreCorrupt, "the journal's first frame is damaged");
    }
    try {
        identified_state stored = decodeStoredState(content.frames.front());
        m_self = stored.self;
        m_state = std::move(stored.state);
        for (const std::span<const std::byte> frame : std::span(content.frames).subspan(1)) {
            replay(frame);
        }
    } catch (const coordination_error &fault) {
        const bool newer = fault.code() == result_code::MessageUnknown;
        throw coordination_error(newer ? result_code::StoreVersionUnknown : result_code::StoreCorrupt, fault.what());
    }
    m_size = content.validBytes;
    if (m_size < bytes.size()) {
        m_journal.resize(m_size);
        m_journal.sync();
    }
}

void replica_store::rewriteJournal()
{
    const std::span header = std::as_bytes(std::span(journalHeader));
    std::vector<std::byte> content(header.begin(), header.end());
    const std::vector<std::byte> frame = encodeFrame(encodeStoredState(m_self, m_state));
    content.insert(content.end(), frame.begin(), frame.end());
    file newJournal(path(temporaryJournalName));
    newJournal.resize(0);
    newJournal.writeAt(0, content);
    newJournal.sync();
    renameDurably(path(temporaryJournalName), path(journalName), m_folder);
    m_journal = std::move(newJournal);
    m_size = content.size();
}

void replica_store::replay(std::span<const std::byte> frame)
{
    for (const storage_write &write : decodeWrites(frame)) {
        if (const auto *appended = std::get_if<append_records>(&write)) {
            const log_index expected{lastIndex(m_state.log).value + 1};
            if (!appended->records.empty() && appended->records.front().index != expected) {
                throw coordination_error(result_code::StoreCorrupt, "the journal's records have a gap");
            }
        }
        std::visit([this](const auto &value) { applyWrite(m_state, value); }, write);
    }
}

std::string replica_store::path(const char *name) const
{
    return m_folder + "/" + name;
}

} // namespace guavafront
