#include "wire/log_json.h"

#include "wire/cbor_fields.h"

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxPayloadBytes = std::size_t{1} << 20;

enum class record_kind : std::uint8_t { NoOp, Command, Membership };

json contentToJson(const log_record &record)
{
    if (const auto *stored = std::get_if<command>(&record.content)) {
        return cborBytes(stored->payload);
    }
    if (const auto *members = std::get_if<membership>(&record.content)) {
        return toJson(*members);
    }
    return false;
}

std::vector<std::byte> copyOf(std::span<const std::byte> bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace

json toJson(const membership &members)
{
    json list = json::array();
    for (const member &each : members.members) {
        list.push_back(json::array({each.id.value, static_cast<std::uint8_t>(each.role), each.replaces.value}));
    }
    return list;
}

json toJson(const log_record &record)
{
    return json::array({record.index.value, record.inTerm.value, record.content.index(), contentToJson(record)});
}

json toJson(const log_snapshot &snapshot)
{
    return json::array(
        {snapshot.index.value, snapshot.indexTerm.value, toJson(snapshot.members), cborBytes(snapshot.state)});
}

membership membershipFromJson(const json &value)
{
    membership members;
    for (const json &each : value) {
        cbor_fields fields(each, "member", 3);
        const vm_id id{fields.integer<std::uint64_t>()};
        const auto role = fields.enumerator(voting_role::Voter);
        members = withMember(members, {id, role, {fields.integer<std::uint64_t>()}});
    }
    return members;
}

log_record recordFromJson(const json &value)
{
    cbor_fields fields(value, "log record", 4);
    log_record record;
    record.index.value = fields.integer<std::uint64_t>();
    record.inTerm.value = fields.integer<std::uint64_t>();
    switch (fields.enumerator(record_kind::Membership)) {
    case record_kind::NoOp:
        fields.boolean();
        break;
    case record_kind::Command:
        record.content = command{copyOf(fields.bytes(maxPayloadBytes))};
        break;
    case record_kind::Membership:
        record.content = membershipFromJson(fields.array(maxMembers));
        break;
    }
    return record;
}

log_snapshot snapshotFromJson(const json &value)
{
    cbor_fields fields(value, "log snapshot", 4);
    log_snapshot snapshot;
    snapshot.index.value = fields.integer<std::uint64_t>();
    snapshot.indexTerm.value = fields.integer<std::uint64_t>();
    snapshot.members = membershipFromJson(fields.array(maxMembers));
    snapshot.state = copyOf(fields.bytes(maxSnapshotBytes));
    return snapshot;
}

} // namespace guavafront
