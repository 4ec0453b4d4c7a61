#include "wire/claims_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxHolders = 64;
constexpr std::size_t maxRecords = 4'096;
constexpr std::size_t maxAnswerBytes = std::size_t{256} << 10;
constexpr std::size_t maxDataCentreBytes = 64;
constexpr std::uint64_t maxDurationMicroseconds = std::uint64_t{400} * 24 * 60 * 60 * 1'000'000;

[[noreturn]] void throwMalformed(const char *what)
{
    throw coordination_error(result_code::MessageMalformed, std::string("malformed ") + what);
}

json fromDuration(duration value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0));
}

duration toDuration(cbor_fields &fields)
{
    return duration(static_cast<std::int64_t>(fields.integerUpTo(maxDurationMicroseconds)));
}

json fromKey(const claim_key &key)
{
    return json::array({key.owner.value, key.high, key.low});
}

claim_key toKey(cbor_fields &outer)
{
    cbor_fields fields(outer.array(3), "claim key", 3);
    claim_key key;
    key.owner = {fields.integer<std::uint32_t>()};
    key.high = fields.integer<std::uint64_t>();
    key.low = fields.integer<std::uint64_t>();
    return key;
}

json fromAttempt(const claim_attempt &attempt)
{
    return json::array({attempt.claimant.value, attempt.number});
}

claim_attempt toAttempt(cbor_fields &outer)
{
    cbor_fields fields(outer.array(2), "claim attempt", 2);
    claim_attempt attempt;
    attempt.claimant = {fields.integer<std::uint64_t>()};
    attempt.number = fields.integer<std::uint64_t>();
    return attempt;
}

json fromDigest(const request_digest &digest)
{
    return json::array({digest.high, digest.low});
}

request_digest toDigest(cbor_fields &outer)
{
    cbor_fields fields(outer.array(2), "request digest", 2);
    request_digest digest;
    digest.high = fields.integer<std::uint64_t>();
    digest.low = fields.integer<std::uint64_t>();
    return digest;
}

json fromHolders(std::span<const holder_report> holders)
{
    json list = json::array();
    for (const holder_report &each : holders) {
        list.push_back(json::array({fromAttempt(each.attempt), fromDigest(each.digest), fromDuration(each.remaining)}));
    }
    return list;
}

std::vector<holder_report> toHolders(cbor_fields &outer)
{
    std::vector<holder_report> holders;
    for (const json &each : outer.array(maxHolders)) {
        cbor_fields fields(each, "holder of a claim", 3);
        holder_report &holder = holders.emplace_back();
        holder.attempt = toAttempt(fields);
        holder.digest = toDigest(fields);
        holder.remaining = toDuration(fields);
    }
    return holders;
}

json fromOutcome(const claim_outcome &outcome)
{
    return json::array({fromDigest(outcome.digest), outcome.answerKept, cborBytes(outcome.answer)});
}

claim_outcome toOutcome(const json &value)
{
    cbor_fields fields(value, "outcome of a claim", 3);
    claim_outcome outcome;
    outcome.digest = toDigest(fields);
    outcome.answerKept = fields.boolean();
    const std::span<const std::byte> answer = fields.bytes(maxAnswerBytes);
    outcome.answer.assign(answer.begin(), answer.end());
    return outcome;
}

/// Encodes an optional outcome as an array of one element, or an empty array when there is none.
json fromOptional(const std::optional<claim_outcome> &outcome)
{
    json list = json::array();
    if (outcome) {
        list.push_back(fromOutcome(*outcome));
    }
    return list;
}

std::optional<claim_outcome> toOptional(cbor_fields &outer)
{
    const json &list = outer.array(1);
    return list.empty() ? std::nullopt : std::optional(toOutcome(list[0]));
}

json fromMessage(const claim_request &value)
{
    return json::array({value.epoch.value, fromAttempt(value.attempt), fromKey(value.key), fromDigest(value.digest),
                        fromDuration(value.remaining)});
}

void toMessage(const json &value, claim_request &message)
{
    cbor_fields fields(value, "claim request", 5);
    message.epoch = {fields.integer<std::uint64_t>()};
    message.attempt = toAttempt(fields);
    message.key = toKey(fields);
    message.digest = toDigest(fields);
    message.remaining = toDuration(fields);
}

json fromMessage(const claim_reply &value)
{
    return json::array({fromAttempt(value.attempt), fromKey(value.key), static_cast<std::uint64_t>(value.vote),
                        value.epoch.value, fromHolders(value.holders), fromOptional(value.outcome)});
}

void toMessage(const json &value, claim_reply &message)
{
    cbor_fields fields(value, "claim reply", 6);
    message.attempt = toAttempt(fields);
    message.key = toKey(fields);
    message.vote = fields.enumerator(claim_vote::Full);
    message.epoch = {fields.integer<std::uint64_t>()};
    message.holders = toHolders(fields);
    message.outcome = toOptional(fields);
}

json fromMessage(const claim_release &value)
{
    return json::array({fromAttempt(value.attempt), fromKey(value.key)});
}

void toMessage(const json &value, claim_release &message)
{
    cbor_fields fields(value, "claim release", 2);
    message.attempt = toAttempt(fields);
    message.key = toKey(fields);
}

json fromMessage(const claim_outcome_notice &value)
{
    return json::array({fromAttempt(value.attempt), fromKey(value.key), fromOutcome(value.outcome)});
}

void toMessage(const json &value, claim_outcome_notice &message)
{
    cbor_fields fields(value, "claim outcome", 3);
    message.attempt = toAttempt(fields);
    message.key = toKey(fields);
    message.outcome = toOutcome(fields.array(3));
}

json fromMessage(const claim_acknowledged &value)
{
    return json::array({fromAttempt(value.attempt)});
}

void toMessage(const json &value, claim_acknowledged &message)
{
    cbor_fields fields(value, "claim acknowledgement", 1);
    message.attempt = toAttempt(fields);
}

json fromMessage(const shard_pull &value)
{
    return json::array({value.epoch.value, value.shard, value.life, fromKey(value.after)});
}

void toMessage(const json &value, shard_pull &message)
{
    cbor_fields fields(value, "shard pull", 4);
    message.epoch = {fields.integer<std::uint64_t>()};
    message.shard = static_cast<std::uint32_t>(fields.integerUpTo(claimShardCount - 1));
    message.life = fields.integer<std::uint64_t>();
    message.after = toKey(fields);
}

json fromMessage(const shard_page &value)
{
    json records = json::array();
    for (const shard_record &each : value.records) {
        records.push_back(json::array(
            {fromKey(each.key), fromDuration(each.retention), fromHolders(each.holders), fromOptional(each.outcome)}));
    }
    return json::array(
        {value.epoch.value, value.shard, fromKey(value.after), value.ready, value.last, std::move(records)});
}

void toMessage(const json &value, shard_page &message)
{
    cbor_fields fields(value, "shard page", 6);
    message.epoch = {fields.integer<std::uint64_t>()};
    message.shard = static_cast<std::uint32_t>(fields.integerUpTo(claimShardCount - 1));
    message.after = toKey(fields);
    message.ready = fields.boolean();
    message.last = fields.boolean();
    for (const json &each : fields.array(maxRecords)) {
        cbor_fields record(each, "record of a shard", 4);
        shard_record &decoded = message.records.emplace_back();
        decoded.key = toKey(record);
        decoded.retention = toDuration(record);
        decoded.holders = toHolders(record);
        decoded.outcome = toOptional(record);
        if (shardOf(decoded.key) != message.shard) {
            throwMalformed("shard page: key of another shard");
        }
    }
}

/// Decodes the body of a claim message. The number is the position of the message's type in the variant.
template<std::size_t index = 0>
claim_message toAlternative(std::uint64_t number, const json &body)
{
    if constexpr (index < std::variant_size_v<claim_message>) {
        if (number == index) {
            std::variant_alternative_t<index, claim_message> message;
            toMessage(body, message);
            return message;
        }
        return toAlternative<index + 1>(number, body);
    }
    throw coordination_error(result_code::MessageUnknown, "unknown kind of claim message");
}

json fromMembers(std::span<const claims_member> members)
{
    json list = json::array();
    for (const claims_member &each : members) {
        list.push_back(json::array({each.id.value, each.life, each.dataCentre}));
    }
    return list;
}

std::vector<claims_member> toMembers(cbor_fields &outer)
{
    std::vector<claims_member> members;
    for (const json &each : outer.array(claimsMemberLimit)) {
        cbor_fields fields(each, "member of a claims view", 3);
        claims_member &member = members.emplace_back();
        member.id = {fields.integer<std::uint64_t>()};
        member.life = fields.integer<std::uint64_t>();
        member.dataCentre = fields.text(maxDataCentreBytes);
    }
    const auto misordered = std::ranges::adjacent_find(
        members, [](const claims_member &left, const claims_member &right) { return left.id >= right.id; });
    if (misordered != members.end()) {
        throwMalformed("claims view: members out of order");
    }
    return members;
}

} // namespace

std::vector<std::byte> encodeClaimMessage(const claim_message &message)
{
    json body = std::visit([](const auto &each) { return fromMessage(each); }, message);
    return encodeCbor(json::array({claimsFormatVersion, message.index(), std::move(body)}));
}

claim_message decodeClaimMessage(std::span<const std::byte> encoded)
{
    constexpr std::size_t maxBodyFields = 8;
    const json value = parseCbor(encoded, maxClaimMessageBytes);
    cbor_fields fields(value, "claim message", 3);
    fields.checkVersion(claimsFormatVersion);
    const auto number = fields.integer<std::uint64_t>();
    return toAlternative(number, fields.array(maxBodyFields));
}

std::vector<std::byte> encodeClaimsMember(const claims_member &member)
{
    return encodeCbor(json::array({claimsFormatVersion, member.id.value, member.life, member.dataCentre}));
}

claims_member decodeClaimsMember(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxClaimsViewBytes);
    cbor_fields fields(value, "claims member", 4);
    fields.checkVersion(claimsFormatVersion);
    claims_member member;
    member.id = {fields.integer<std::uint64_t>()};
    member.life = fields.integer<std::uint64_t>();
    member.dataCentre = fields.text(maxDataCentreBytes);
    return member;
}

std::vector<std::byte> encodeClaimsView(const claims_view &view)
{
    return encodeCbor(
        json::array({claimsFormatVersion, view.epoch.value, fromMembers(view.members), fromMembers(view.previous)}));
}

claims_view decodeClaimsView(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxClaimsViewBytes);
    cbor_fields fields(value, "claims view", 4);
    fields.checkVersion(claimsFormatVersion);
    claims_view view;
    view.epoch = {fields.integer<std::uint64_t>()};
    view.members = toMembers(fields);
    view.previous = toMembers(fields);
    return view;
}

} // namespace guavafront
