#include "wire/membership_codec.h"

#include "wire/digest_fields.h"

#include <algorithm>
#include <array>

namespace guavafront
{

namespace
{

constexpr std::size_t maxMessageBytes = 1'048'576;
constexpr std::size_t maxTextBytes = 64;
constexpr std::size_t maxUpdates = 10'000;
constexpr std::size_t recordFieldCount = 6;

/// Type of a message, its first field. The numbers are the positions of the types in membership_message.
enum class message_kind : std::uint8_t { Ping, Ack, PingRequest, Gossip, Digest, Summary, RecordRequest };

nlohmann::json encodeRecord(const member_record &record)
{
    return nlohmann::json::array({record.id.value, record.incarnation, static_cast<std::uint8_t>(record.status),
                                  record.address, record.dataCentre, record.roles});
}

member_record decodeRecord(const nlohmann::json &value)
{
    cbor_fields fields(value, "member record", recordFieldCount);
    member_record record;
    record.id = {fields.integer<std::uint64_t>()};
    record.incarnation = fields.integer<std::uint32_t>();
    record.status = fields.enumerator(member_status::Left);
    record.address = fields.text(maxTextBytes);
    record.dataCentre = fields.text(maxTextBytes);
    record.roles = fields.integer<std::uint8_t>();
    if (record.id.value == 0) {
        throw coordination_error(result_code::MessageMalformed, "malformed member record");
    }
    return record;
}

nlohmann::json encodeBeacon(const beacon &value)
{
    const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>(value.age.count(), 0));
    return nlohmann::json::array({value.leaderTerm.value, value.counter, value.accepted.value, age});
}

membership_ack decodeAck(cbor_fields &fields)
{
    constexpr std::size_t beaconFieldCount = 4;
    constexpr std::uint64_t maxAgeUs = 1ULL << 53U;
    membership_ack message{.nonce = fields.integer<std::uint64_t>(), .leaderBeacon = {}};
    const nlohmann::json &value = fields.array(beaconFieldCount);
    if (!value.empty()) {
        cbor_fields inner(value, "beacon", beaconFieldCount);
        beacon decoded;
        decoded.leaderTerm = {inner.integer<std::uint64_t>()};
        decoded.counter = inner.integer<std::uint64_t>();
        decoded.accepted = {inner.integer<std::uint64_t>()};
        decoded.age = duration(static_cast<std::int64_t>(inner.integerUpTo(maxAgeUs)));
        message.leaderBeacon = decoded;
    }
    return message;
}

nlohmann::json encodeUpdates(const membership_gossip &message)
{
    auto updates = nlohmann::json::array();
    for (const member_update &each : message.updates) {
        updates.push_back(nlohmann::json::array({encodeRecord(each.record), each.accuser.value}));
    }
    return updates;
}

membership_gossip decodeGossip(cbor_fields &fields)
{
    membership_gossip message;
    message.repair = fields.boolean();
    for (const nlohmann::json &each : fields.array(maxUpdates)) {
        cbor_fields update(each, "member update", 2);
        member_record record = decodeRecord(update.array(recordFieldCount));
        message.updates.push_back({.record = std::move(record), .accuser = {update.integer<std::uint64_t>()}});
    }
    return message;
}

/// Appends the fields of a message to an array that contains the message's type.
struct field_writer {
    nlohmann::json &fields; ///< Array to which the fields are appended; not owned.

    void operator()(const membership_ping &message) const
    {
        fields.push_back(message.nonce);
    }

    void operator()(const membership_ack &message) const
    {
        fields.push_back(message.nonce);
        fields.push_back(message.leaderBeacon ? encodeBeacon(*message.leaderBeacon) : nlohmann::json::array());
    }

    void operator()(const membership_ping_request &message) const
    {
        fields.push_back(message.nonce);
        fields.push_back(message.target.value);
        fields.push_back(message.address);
    }

    void operator()(const membership_gossip &message) const
    {
        fields.push_back(message.repair);
        fields.push_back(encodeUpdates(message));
    }

    void operator()(const membership_digest &message) const
    {
        fields.push_back(encodeRecord(message.sender));
        fields.push_back(packNumbers<std::uint32_t>(message.digest));
    }

    void operator()(const membership_summary &message) const
    {
        fields.push_back(packNumbers<std::uint16_t>(message.summary.buckets));
        fields.push_back(packNumbers<entry_hash>(message.summary.hashes));
    }

    void operator()(const membership_record_request &message) const
    {
        fields.push_back(packNumbers<entry_hash>(message.hashes));
    }
};

membership_ping_request decodePingRequest(cbor_fields &fields)
{
    membership_ping_request message;
    message.nonce = fields.integer<std::uint64_t>();
    message.target = {fields.integer<std::uint64_t>()};
    message.address = fields.text(maxTextBytes);
    return message;
}

membership_digest decodeDigest(cbor_fields &fields)
{
    membership_digest message;
    message.sender = decodeRecord(fields.array(recordFieldCount));
    message.digest = unpackNumbers<std::uint32_t>(fields.bytes(maxMessageBytes));
    return message;
}

membership_summary decodeSummary(cbor_fields &fields)
{
    membership_summary message;
    message.summary.buckets = unpackNumbers<std::uint16_t>(fields.bytes(maxMessageBytes));
    message.summary.hashes = unpackNumbers<entry_hash>(fields.bytes(maxMessageBytes));
    return message;
}

} // namespace

byte_buffer encodeMembership(const membership_message &message)
{
    auto fields = nlohmann::json::array({static_cast<std::uint8_t>(message.index())});
    std::visit(field_writer{fields}, message);
    return encodeCbor(fields);
}

membership_message decodeMembership(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxMessageBytes);
    constexpr std::size_t maxFields = 4;
    const std::size_t count = value.is_array() && !value.empty() ? std::min(value.size(), maxFields) : 1;
    cbor_fields fields(value, "membership message", count);
    const auto kind = fields.enumerator(message_kind::RecordRequest);
    constexpr std::array<std::size_t, 7> fieldCounts{2, 3, 4, 3, 3, 3, 2};
    if (count != fieldCounts[static_cast<std::size_t>(kind)]) {
        throw coordination_error(result_code::MessageMalformed, "malformed membership message");
    }
    switch (kind) {
    case message_kind::Ping:
        return membership_ping{fields.integer<std::uint64_t>()};
    case message_kind::Ack:
        return decodeAck(fields);
    case message_kind::PingRequest:
        return decodePingRequest(fields);
    case message_kind::Gossip:
        return decodeGossip(fields);
    case message_kind::Digest:
        return decodeDigest(fields);
    case message_kind::Summary:
        return decodeSummary(fields);
    case message_kind::RecordRequest:
        break;
    }
    return membership_record_request{unpackNumbers<entry_hash>(fields.bytes(maxMessageBytes))};
}

} // namespace guavafront
