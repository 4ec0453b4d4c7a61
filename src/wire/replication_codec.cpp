#include "wire/replication_codec.h"

#include "wire/cbor_fields.h"
#include "wire/log_json.h"

#include <array>
#include <utility>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxRecords = std::size_t{1} << 16; ///< Largest number of records in one message or frame.
constexpr std::size_t maxBodyFields = 8; ///< Largest number of fields in one message body.

json fieldsOf(const vote_request &body)
{
    return json::array({body.preVote, body.lastIndex.value, body.lastTerm.value});
}

json fieldsOf(const vote_answer &body)
{
    return json::array({body.preVote, body.granted});
}

json fieldsOf(const append_request &body)
{
    return json::array(
        {body.previousIndex.value, body.previousTerm.value, body.commitIndex.value, recordsToJson(body.records)});
}

json fieldsOf(const append_answer &body)
{
    return json::array({body.accepted, body.matchIndex.value});
}

json fieldsOf(const snapshot_chunk &body)
{
    return json::array({body.index.value, body.indexTerm.value, toJson(body.members), body.totalBytes, body.offset,
                        cborBytes(body.part)});
}

json fieldsOf(const snapshot_answer &body)
{
    return json::array({body.index.value, body.receivedBytes});
}

json fieldsOf(const write_vote &write)
{
    return json::array({write.cluster.value, write.currentTerm.value, write.votedFor.value});
}

json fieldsOf(const append_records &write)
{
    return json::array({recordsToJson(write.records)});
}

json fieldsOf(const remove_records &write)
{
    return json::array({write.firstIndex.value});
}

json fieldsOf(const write_snapshot &write)
{
    return json::array(
        {toJson(write.snapshot), write.precedingIndex.value, write.precedingTerm.value, write.dropAllRecords});
}

void read(cbor_fields &fields, vote_request &body)
{
    body.preVote = fields.boolean();
    body.lastIndex.value = fields.integer<std::uint64_t>();
    body.lastTerm.value = fields.integer<std::uint64_t>();
}

void read(cbor_fields &fields, vote_answer &body)
{
    body.preVote = fields.boolean();
    body.granted = fields.boolean();
}

void read(cbor_fields &fields, append_request &body)
{
    body.previousIndex.value = fields.integer<std::uint64_t>();
    body.previousTerm.value = fields.integer<std::uint64_t>();
    body.commitIndex.value = fields.integer<std::uint64_t>();
    body.records = recordsFromJson<std::vector<log_record>>(fields.array(maxRecords));
}

void read(cbor_fields &fields, append_answer &body)
{
    body.accepted = fields.boolean();
    body.matchIndex.value = fields.integer<std::uint64_t>();
}

void read(cbor_fields &fields, snapshot_chunk &body)
{
    body.index.value = fields.integer<std::uint64_t>();
    body.indexTerm.value = fields.integer<std::uint64_t>();
    body.members = membershipFromJson(fields.array(maxMembers));
    body.totalBytes = fields.integerUpTo(maxSnapshotBytes);
    body.offset = fields.integerUpTo(maxSnapshotBytes);
    const auto part = fields.bytes(maxReplicationMessageBytes);
    body.part.assign(part.begin(), part.end());
}

void read(cbor_fields &fields, snapshot_answer &body)
{
    body.index.value = fields.integer<std::uint64_t>();
    body.receivedBytes = fields.integer<std::uint64_t>();
}

void read(cbor_fields &fields, write_vote &write)
{
    write.cluster.value = fields.integer<std::uint64_t>();
    write.currentTerm.value = fields.integer<std::uint64_t>();
    write.votedFor.value = fields.integer<std::uint64_t>();
}

void read(cbor_fields &fields, append_records &write)
{
    write.records = recordsFromJson<std::vector<log_record>>(fields.array(maxRecords));
}

void read(cbor_fields &fields, remove_records &write)
{
    write.firstIndex.value = fields.integer<std::uint64_t>();
}

void read(cbor_fields &fields, write_snapshot &write)
{
    write.snapshot = snapshotFromJson(fields.array(maxBodyFields));
    write.precedingIndex.value = fields.integer<std::uint64_t>();
    write.precedingTerm.value = fields.integer<std::uint64_t>();
    write.dropAllRecords = fields.boolean();
}

/// Encodes a variant as an array of the position of its current type and the fields of its value. The positions are
/// stored and sent, so new types must be added at the end of the variant.
template<class variant>
json taggedToJson(const variant &value)
{
    return json::array({value.index(), std::visit([](const auto &body) { return fieldsOf(body); }, value)});
}

template<class variant, class body>
variant readBody(const json &value)
{
    body content;
    cbor_fields fields(value, "replication message", fieldsOf(content).size());
    read(fields, content);
    return content;
}

template<class variant, std::size_t... tags>
constexpr auto readersOf(std::index_sequence<tags...> /*tags*/)
{
    return std::array<variant (*)(const json &), sizeof...(tags)>{
        readBody<variant, std::variant_alternative_t<tags, variant>>...};
}

/// Reads a variant that taggedToJson() wrote.
template<class variant>
variant taggedFromJson(const json &value)
{
    constexpr auto readers = readersOf<variant>(std::make_index_sequence<std::variant_size_v<variant>>());
    cbor_fields fields(value, "replication message", 2);
    const std::uint64_t tag = fields.integerUpTo(readers.size() - 1);
    return readers[tag](fields.array(maxBodyFields));
}

} // namespace

byte_buffer encodeReplicationMessage(const replication_message &message)
{
    return encodeCbor(
        json::array({replicationFormatVersion, message.cluster.value, message.from.value, message.to.value,
                     message.inTerm.value, message.heartbeatRound, taggedToJson(message.body)}));
}

replication_message decodeReplicationMessage(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxReplicationMessageBytes);
    cbor_fields fields(value, "replication message", 7);
    fields.checkVersion(replicationFormatVersion);
    replication_message message;
    message.cluster.value = fields.integer<std::uint64_t>();
    message.from.value = fields.integer<std::uint64_t>();
    message.to.value = fields.integer<std::uint64_t>();
    message.inTerm.value = fields.integer<std::uint64_t>();
    message.heartbeatRound = fields.integer<std::uint64_t>();
    message.body = taggedFromJson<decltype(message.body)>(fields.array(2));
    return message;
}

byte_buffer encodeWrites(std::span<const storage_write> writes)
{
    json list = json::array();
    for (const storage_write &write : writes) {
        list.push_back(taggedToJson(write));
    }
    return encodeCbor(json::array({replicationFormatVersion, std::move(list)}));
}

std::vector<storage_write> decodeWrites(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxFrameBytes);
    cbor_fields fields(value, "journal frame", 2);
    fields.checkVersion(replicationFormatVersion);
    std::vector<storage_write> writes;
    for (const json &each : fields.array(maxRecords)) {
        writes.push_back(taggedFromJson<storage_write>(each));
    }
    return writes;
}

byte_buffer encodeStoredState(vm_id self, const stored_state &state)
{
    const replicated_log &log = state.log;
    return encodeCbor(json::array({replicationFormatVersion, self.value, state.cluster.value, state.currentTerm.value,
                                   state.votedFor.value, toJson(log.snapshot), log.precedingIndex.value,
                                   log.precedingTerm.value, recordsToJson(log.records)}));
}

identified_state decodeStoredState(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxFrameBytes);
    cbor_fields fields(value, "stored state", 9);
    fields.checkVersion(replicationFormatVersion);
    identified_state stored;
    stored.self.value = fields.integer<std::uint64_t>();
    stored_state &state = stored.state;
    state.cluster.value = fields.integer<std::uint64_t>();
    state.currentTerm.value = fields.integer<std::uint64_t>();
    state.votedFor.value = fields.integer<std::uint64_t>();
    state.log.snapshot = snapshotFromJson(fields.array(maxBodyFields));
    state.log.precedingIndex.value = fields.integer<std::uint64_t>();
    state.log.precedingTerm.value = fields.integer<std::uint64_t>();
    state.log.records = recordsFromJson<std::deque<log_record>>(fields.array(maxRecords));
    return stored;
}

} // namespace guavafront
