#include <guavafront/coordination/replication/replica.h>

#include <cassert>

namespace guavafront
{

void applyWrite(stored_state &stored, const write_vote &write)
{
    stored.cluster = write.cluster;
    stored.currentTerm = write.currentTerm;
    stored.votedFor = write.votedFor;
}

void applyWrite(stored_state &stored, const append_records &write)
{
    for (const log_record &record : write.records) {
        assert(record.index.value == lastIndex(stored.log).value + 1);
        stored.log.records.push_back(record);
    }
}

void applyWrite(stored_state &stored, const remove_records &write)
{
    truncateFrom(stored.log, write.firstIndex);
}

void applyWrite(stored_state &stored, const write_snapshot &write)
{
    if (write.dropAllRecords) {
        stored.log = {write.snapshot, write.precedingIndex, write.precedingTerm, {}};
        return;
    }
    stored.log.snapshot = write.snapshot;
    compactTo(stored.log, write.precedingIndex);
}

} // namespace guavafront
