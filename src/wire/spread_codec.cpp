#include "wire/spread_codec.h"

#include "wire/digest_fields.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::size_t maxMessageBytes = 1'048'576;
constexpr std::size_t maxNameBytes = 1'024;
constexpr std::size_t maxEntries = 10'000;
constexpr std::size_t entryFieldCount = 6;

/// Type of a message, its first field. The numbers are the positions of the types in spread_message.
enum class message_kind : std::uint8_t { Delta, Digest, Summary, EntryRequest };

nlohmann::json encodeEntry(const spread_entry &entry)
{
    auto fields = nlohmann::json::array();
    fields.push_back(static_cast<std::uint8_t>(entry.key.topic));
    fields.push_back(entry.key.owner.value);
    fields.push_back(entry.key.name);
    fields.push_back(entry.version);
    fields.push_back(entry.removed);
    fields.push_back(cborBytes(entry.payload));
    return fields;
}

spread_entry decodeEntry(const nlohmann::json &value)
{
    cbor_fields fields(value, "spread entry", entryFieldCount);
    spread_entry entry;
    entry.key.topic = fields.enumerator(spread_topic::Last);
    entry.key.owner = {fields.integer<std::uint64_t>()};
    entry.key.name = fields.text(maxNameBytes);
    entry.version = fields.integer<std::uint64_t>();
    entry.removed = fields.boolean();
    const std::span<const std::byte> payload = fields.bytes(maxMessageBytes);
    entry.payload.assign(payload.begin(), payload.end());
    return entry;
}

/// Appends the fields of a message to an array that contains the message's type.
struct field_writer {
    nlohmann::json &fields; ///< Array to which the fields are appended; not owned.

    void operator()(const spread_delta &message) const
    {
        auto entries = nlohmann::json::array();
        for (const spread_entry &each : message.entries) {
            entries.push_back(encodeEntry(each));
        }
        fields.push_back(std::move(entries));
    }

    void operator()(const spread_digest &message) const
    {
        fields.push_back(packNumbers<std::uint32_t>(message.digest));
    }

    void operator()(const spread_summary &message) const
    {
        fields.push_back(packNumbers<std::uint16_t>(message.summary.buckets));
        fields.push_back(packNumbers<entry_hash>(message.summary.hashes));
    }

    void operator()(const spread_entry_request &message) const
    {
        fields.push_back(packNumbers<entry_hash>(message.hashes));
    }
};

spread_delta decodeDelta(cbor_fields &fields)
{
    spread_delta message;
    for (const nlohmann::json &each : fields.array(maxEntries)) {
        message.entries.push_back(decodeEntry(each));
    }
    return message;
}

spread_summary decodeSummary(cbor_fields &fields)
{
    spread_summary message;
    message.summary.buckets = unpackNumbers<std::uint16_t>(fields.bytes(maxMessageBytes));
    message.summary.hashes = unpackNumbers<entry_hash>(fields.bytes(maxMessageBytes));
    return message;
}

} // namespace

byte_buffer encodeSpread(const spread_message &message)
{
    auto fields = nlohmann::json::array({static_cast<std::uint8_t>(message.index())});
    std::visit(field_writer{fields}, message);
    return encodeCbor(fields);
}

spread_message decodeSpread(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxMessageBytes);
    constexpr std::size_t summaryFieldCount = 3;
    const bool isSummary = value.is_array() && value.size() == summaryFieldCount;
    cbor_fields fields(value, "spread message", isSummary ? summaryFieldCount : 2);
    const auto kind = fields.enumerator(message_kind::EntryRequest);
    if (isSummary != (kind == message_kind::Summary)) {
        throw coordination_error(result_code::MessageMalformed, "malformed spread message");
    }
    switch (kind) {
    case message_kind::Delta:
        return decodeDelta(fields);
    case message_kind::Digest:
        return spread_digest{unpackNumbers<std::uint32_t>(fields.bytes(maxMessageBytes))};
    case message_kind::Summary:
        return decodeSummary(fields);
    case message_kind::EntryRequest:
        break;
    }
    return spread_entry_request{unpackNumbers<entry_hash>(fields.bytes(maxMessageBytes))};
}

} // namespace guavafront
