#include "wire/follower_codec.h"

#include "wire/cbor_fields.h"
#include "wire/configuration_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <utility>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxDeltasPerMessage = 4'096;
constexpr std::size_t maxFields = 8;

json toJson(const held_revision &held)
{
    return json::array({held.atRevision.value, cborBytes(held.digest)});
}

held_revision heldFromJson(const json &value)
{
    cbor_fields fields(value, "held revision", 2);
    held_revision held;
    held.atRevision.value = fields.integer<std::uint64_t>();
    fields.bytesInto(held.digest);
    return held;
}

json toJson(const configuration_delta &delta)
{
    return json::array({delta.atRevision.value, cborBytes(delta.previousDigest), cborBytes(delta.digest),
                        cborBytes(encodeChanges(delta.changes))});
}

configuration_delta deltaFromJson(const json &value)
{
    cbor_fields fields(value, "configuration delta", 4);
    configuration_delta delta;
    delta.atRevision.value = fields.integer<std::uint64_t>();
    fields.bytesInto(delta.previousDigest);
    fields.bytesInto(delta.digest);
    delta.changes = decodeChanges(fields.bytes(maxChangesBytes));
    return delta;
}

json fieldsOf(const offer_message &message)
{
    return json::array({toJson(message.held)});
}

json fieldsOf(const pull_message &message)
{
    return json::array({toJson(message.held), message.snapshot.atRevision.value, message.snapshot.offset});
}

json fieldsOf(const deltas_message &message)
{
    json list = json::array();
    for (const configuration_delta &delta : message.deltas) {
        list.push_back(toJson(delta));
    }
    return json::array({std::move(list)});
}

json fieldsOf(const snapshot_part &part)
{
    return json::array({toJson(part.held), cborBytes(part.seal), part.totalBytes, part.offset, cborBytes(part.bytes)});
}

json fieldsOf(const revision_report &report)
{
    return json::array({report.inForce.value, report.vmName});
}

json fieldsOf(const report_request & /*message*/)
{
    return json::array();
}

follower_message offerFromJson(const json &value)
{
    cbor_fields fields(value, "offer", 1);
    return offer_message{heldFromJson(fields.array(maxFields))};
}

follower_message pullFromJson(const json &value)
{
    cbor_fields fields(value, "pull", 3);
    pull_message message;
    message.held = heldFromJson(fields.array(maxFields));
    message.snapshot.atRevision.value = fields.integer<std::uint64_t>();
    message.snapshot.offset = fields.integer<std::uint64_t>();
    return message;
}

follower_message deltasFromJson(const json &value)
{
    cbor_fields fields(value, "deltas", 1);
    deltas_message message;
    for (const json &each : fields.array(maxDeltasPerMessage)) {
        message.deltas.push_back(deltaFromJson(each));
    }
    return message;
}

follower_message partFromJson(const json &value)
{
    cbor_fields fields(value, "snapshot part", 5);
    snapshot_part part;
    part.held = heldFromJson(fields.array(maxFields));
    fields.bytesInto(part.seal);
    part.totalBytes = fields.integerUpTo(maxConfigurationBytes);
    part.offset = fields.integerUpTo(maxConfigurationBytes);
    const auto bytes = fields.bytes(maxFollowerMessageBytes);
    part.bytes.assign(bytes.begin(), bytes.end());
    return part;
}

follower_message reportFromJson(const json &value)
{
    cbor_fields fields(value, "revision report", 2);
    revision_report report;
    report.inForce.value = fields.integer<std::uint64_t>();
    report.vmName = fields.text(maxVmNameBytes);
    return report;
}

follower_message requestFromJson(const json &value)
{
    const cbor_fields fields(value, "report request", 0);
    return report_request{};
}

} // namespace

byte_buffer encodeFollowerMessage(const follower_message &message)
{
    const json body = std::visit([](const auto &content) { return fieldsOf(content); }, message);
    return encodeCbor(json::array({followerFormatVersion, message.index(), body}));
}

follower_message decodeFollowerMessage(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxFollowerMessageBytes);
    cbor_fields fields(value, "follower message", 3);
    fields.checkVersion(followerFormatVersion);
    const std::uint64_t kind = fields.integerUpTo(std::variant_size_v<follower_message> - 1);
    const json &body = fields.array(maxFields);
    switch (kind) {
    case 0:
        return offerFromJson(body);
    case 1:
        return pullFromJson(body);
    case 2:
        return deltasFromJson(body);
    case 3:
        return partFromJson(body);
    case 4:
        return reportFromJson(body);
    default:
        return requestFromJson(body);
    }
}

} // namespace guavafront
