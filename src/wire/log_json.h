#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <nlohmann/json.hpp>

#include <deque>

namespace guavafront
{

/// Largest state of one snapshot.
constexpr std::size_t maxSnapshotBytes = std::size_t{128} << 20;

/// Array form of parts of the replicated log; the readers throw coordination_error (MessageMalformed).
nlohmann::json toJson(const membership &members);
nlohmann::json toJson(const log_record &record); ///< As above.
nlohmann::json toJson(const log_snapshot &snapshot); ///< As above.
membership membershipFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
log_record recordFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
log_snapshot snapshotFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.

/// Array of records.
template<class range>
nlohmann::json recordsToJson(const range &records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const log_record &record : records) {
        list.push_back(toJson(record));
    }
    return list;
}

/// Container of records, read from an array.
template<class range>
range recordsFromJson(const nlohmann::json &list)
{
    range records;
    for (const nlohmann::json &each : list) {
        records.push_back(recordFromJson(each));
    }
    return records;
}

} // namespace guavafront
