#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <nlohmann/json.hpp>

#include <deque>

namespace guavafront
{

/// Largest state in one snapshot, in bytes.
constexpr std::size_t maxSnapshotBytes = std::size_t{128} << 20;

/// Encodes a part of the replicated log as an array of its fields. The functions that read such an array throw
/// coordination_error (MessageMalformed).
nlohmann::json toJson(const membership &members);
nlohmann::json toJson(const log_record &record); ///< Encodes a log record as an array.
nlohmann::json toJson(const log_snapshot &snapshot); ///< Encodes a snapshot as an array.
membership membershipFromJson(const nlohmann::json &value); ///< Reads the array of a membership.
log_record recordFromJson(const nlohmann::json &value); ///< Reads the array of a log record.
log_snapshot snapshotFromJson(const nlohmann::json &value); ///< Reads the array of a snapshot.

/// Encodes a range of log records as an array.
template<class range>
nlohmann::json recordsToJson(const range &records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const log_record &record : records) {
        list.push_back(toJson(record));
    }
    return list;
}

/// Reads what recordsToJson() wrote into a container.
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
