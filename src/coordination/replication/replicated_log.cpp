#include <guavafront/coordination/replication/replicated_log.h>

#include <algorithm>
#include <cassert>

namespace guavafront
{

namespace
{

constexpr std::size_t recordOverheadBytes = 64; ///< Estimated bytes of a record besides its payload.

} // namespace

log_index lastIndex(const replicated_log &log)
{
    return {log.precedingIndex.value + log.records.size()};
}

term lastTerm(const replicated_log &log)
{
    return log.records.empty() ? log.precedingTerm : log.records.back().inTerm;
}

std::optional<term> termAt(const replicated_log &log, log_index index)
{
    if (index == log.precedingIndex) {
        return log.precedingTerm;
    }
    if (index == log.snapshot.index) {
        return log.snapshot.indexTerm;
    }
    if (index < log.precedingIndex || index > lastIndex(log)) {
        return std::nullopt;
    }
    return recordAt(log, index).inTerm;
}

const log_record &recordAt(const replicated_log &log, log_index index)
{
    assert(index > log.precedingIndex && index <= lastIndex(log));
    return log.records[index.value - log.precedingIndex.value - 1];
}

std::size_t estimatedBytes(const log_record &record)
{
    const auto *stored = std::get_if<command>(&record.content);
    return recordOverheadBytes + (stored ? stored->payload.size() : 0);
}

std::size_t estimatedBytes(const replicated_log &log, log_index after, log_index last)
{
    std::size_t bytes = 0;
    for (log_index index{after.value + 1}; index <= last; ++index.value) {
        bytes += estimatedBytes(recordAt(log, index));
    }
    return bytes;
}

log_index compactionIndex(const replicated_log &log, std::size_t maxRecords, std::size_t maxBytes)
{
    log_index index = log.snapshot.index;
    std::size_t records = 0;
    std::size_t bytes = 0;
    while (index > log.precedingIndex && records < maxRecords) {
        bytes += estimatedBytes(recordAt(log, index));
        if (bytes > maxBytes) {
            break;
        }
        ++records;
        --index.value;
    }
    return index;
}

bool isAtLeastAsUpToDate(const replicated_log &log, log_index otherLastIndex, term otherLastTerm)
{
    const term ownTerm = lastTerm(log);
    return otherLastTerm > ownTerm || (otherLastTerm == ownTerm && otherLastIndex >= lastIndex(log));
}

void truncateFrom(replicated_log &log, log_index first)
{
    assert(first > log.precedingIndex && first > log.snapshot.index);
    if (first <= lastIndex(log)) {
        log.records.resize(first.value - log.precedingIndex.value - 1);
    }
}

void compactTo(replicated_log &log, log_index last)
{
    assert(last <= log.snapshot.index);
    if (last <= log.precedingIndex) {
        return;
    }
    const std::optional<term> lastKeptTerm = termAt(log, last);
    assert(lastKeptTerm);
    const auto dropped = static_cast<std::ptrdiff_t>(last.value - log.precedingIndex.value);
    log.records.erase(log.records.begin(), log.records.begin() + dropped);
    log.precedingIndex = last;
    log.precedingTerm = *lastKeptTerm;
}

void installSnapshot(replicated_log &log, const log_snapshot &snapshot)
{
    assert(snapshot.index >= log.snapshot.index);
    const bool keepsSuffix = termAt(log, snapshot.index) == snapshot.indexTerm;
    log.snapshot = snapshot;
    if (keepsSuffix) {
        return;
    }
    log.records.clear();
    log.precedingIndex = snapshot.index;
    log.precedingTerm = snapshot.indexTerm;
}

logged_membership membershipAt(const replicated_log &log, log_index index)
{
    const auto holds = [index](const log_record &record) {
        return record.index <= index && std::holds_alternative<membership>(record.content);
    };
    const auto found = std::find_if(log.records.rbegin(), log.records.rend(), holds);
    if (found == log.records.rend() || found->index <= log.snapshot.index) {
        return {log.snapshot.index, log.snapshot.members};
    }
    return {found->index, std::get<membership>(found->content)};
}

} // namespace guavafront
