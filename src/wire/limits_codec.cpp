#include "wire/limits_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>

namespace guavafront
{

namespace
{

constexpr std::size_t maxSlots = 4'096;
constexpr std::size_t maxItems = 16'384;
constexpr double thousandthsPerToken = 1'000;
/// Largest number of tokens in a message, in thousandths.
constexpr std::uint64_t maxThousandths = 1'000'000'000'000;
constexpr std::uint64_t maxMicroseconds = 3'600'000'000;
constexpr std::uint64_t maxMilliseconds = 3'600'000;
/// Number of fields for one account in a lease request and in a lease grant.
constexpr std::size_t requestFieldCount = 8;
constexpr std::size_t grantFieldCount = 6;

/// Type of a message, its first field. The numbers are the same in all versions of the program.
enum class message_kind : std::uint8_t {
    ShareRequest,
    ShareDelegation,
    LeaseRequest,
    LeaseGrant,
};

std::uint64_t clampThousandths(double scaled)
{
    return static_cast<std::uint64_t>(std::clamp(scaled, 0.0, static_cast<double>(maxThousandths)));
}

std::uint64_t thousandthsRoundedDown(double tokens)
{
    return clampThousandths(std::floor(tokens * thousandthsPerToken));
}

std::uint64_t thousandthsRoundedUp(double tokens)
{
    return clampThousandths(std::ceil(tokens * thousandthsPerToken));
}

/// Difference between a message's sequence number and that of the last applied grant. It is sent in place of the latter
/// because it is shorter when encoded. 0 means that no grant has been applied.
std::uint64_t distanceTo(std::uint64_t applied, std::uint64_t sequence)
{
    return applied == 0 || applied >= sequence ? 0 : sequence - applied;
}

/// Encodes the fields of an item as an array without the zeros at its end. Fields that are rarely set come last, so
/// that the usual items are short: most requests ask for the first token of an account, and most grants are such a
/// token.
template<std::size_t count>
nlohmann::json encodeFields(const std::array<std::uint64_t, count> &fields)
{
    std::span<const std::uint64_t> kept(fields);
    while (!kept.empty() && kept.back() == 0) {
        kept = kept.first(kept.size() - 1);
    }
    nlohmann::json encoded = nlohmann::json::array();
    for (const std::uint64_t field : kept) {
        encoded.push_back(field);
    }
    return encoded;
}

nlohmann::json encodeItem(const lease_request_item &item, std::uint64_t sequence)
{
    return encodeFields<requestFieldCount>({item.account.value, item.waiting, thousandthsRoundedUp(item.demand),
                                            distanceTo(item.appliedSequence, sequence),
                                            thousandthsRoundedUp(item.heldCapacity), thousandthsRoundedDown(item.level),
                                            thousandthsRoundedDown(item.returnedTokens),
                                            thousandthsRoundedUp(item.heldRate)});
}

nlohmann::json encodeItem(const lease_grant_item &item, std::uint64_t /*sequence*/)
{
    const auto lifetime = std::chrono::floor<std::chrono::milliseconds>(item.lifetime);
    return encodeFields<grantFieldCount>({item.account.value, static_cast<std::uint64_t>(lifetime.count()),
                                          thousandthsRoundedDown(item.capacity), thousandthsRoundedDown(item.tokens),
                                          thousandthsRoundedDown(item.rate),
                                          static_cast<std::uint64_t>(item.retryAfter.count())});
}

/// Number of a lease grant in whose form a release is sent. No request has it, so that builds that don't know releases
/// ignore them.
constexpr std::uint64_t releaseNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t releaseFieldCount = 4;
constexpr unsigned roundHalfBits = 32; // The fields of a grant can't hold a whole round.

/// Encodes a slot of a release in the form of a grant's item: slot, milliseconds rounded up, and the halves of the
/// round.
nlohmann::json encodeItem(const share_release_item &item, std::uint64_t round)
{
    const auto usableAfter = std::chrono::ceil<std::chrono::milliseconds>(item.usableAfter);
    return encodeFields<releaseFieldCount>({item.slot, static_cast<std::uint64_t>(usableAfter.count()),
                                            round >> roundHalfBits, static_cast<std::uint32_t>(round)});
}

template<class item_type>
nlohmann::json encodeItems(std::span<const item_type> items, std::uint64_t sequence)
{
    nlohmann::json encoded = nlohmann::json::array();
    for (const item_type &item : items) {
        encoded.push_back(encodeItem(item, sequence));
    }
    return encoded;
}

nlohmann::json toJson(const share_request &message)
{
    return {message_kind::ShareRequest, message.round, message.slots};
}

nlohmann::json toJson(const share_delegation &message)
{
    return {message_kind::ShareDelegation, message.round, message.slots};
}

nlohmann::json toJson(const lease_request &message)
{
    return {message_kind::LeaseRequest, message.sequence,
            encodeItems(std::span<const lease_request_item>(message.items), message.sequence)};
}

nlohmann::json toJson(const lease_grant &message)
{
    return {message_kind::LeaseGrant, message.sequence,
            encodeItems(std::span<const lease_grant_item>(message.items), message.sequence)};
}

nlohmann::json toJson(const share_release &message)
{
    return {message_kind::LeaseGrant, releaseNumber,
            encodeItems(std::span<const share_release_item>(message.slots), message.round)};
}

[[noreturn]] void throwMalformed(const char *what)
{
    throw coordination_error(result_code::MessageMalformed, what);
}

std::vector<limit_slot> readSlots(const nlohmann::json &values)
{
    std::vector<limit_slot> slots;
    slots.reserve(values.size());
    for (const nlohmann::json &value : values) {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() >= maxSlots) {
            throwMalformed("malformed slot");
        }
        slots.push_back(value.get<limit_slot>());
    }
    return slots;
}

/// Reads what encodeFields() wrote; omitted fields are 0.
template<std::size_t count>
std::array<std::uint64_t, count> readFields(const nlohmann::json &value)
{
    if (!value.is_array() || value.size() > count) {
        throwMalformed("malformed lease");
    }
    std::array<std::uint64_t, count> fields{};
    for (std::size_t index = 0; index < value.size(); ++index) {
        if (!value[index].is_number_unsigned()) {
            throwMalformed("malformed lease");
        }
        fields[index] = value[index].get<std::uint64_t>();
    }
    return fields;
}

std::uint64_t checkAtMost(std::uint64_t maximum, std::uint64_t field)
{
    if (field > maximum) {
        throwMalformed("lease out of range");
    }
    return field;
}

std::uint32_t readUint32(std::uint64_t field)
{
    return static_cast<std::uint32_t>(checkAtMost(std::numeric_limits<std::uint32_t>::max(), field));
}

double readTokens(std::uint64_t field)
{
    return static_cast<double>(checkAtMost(maxThousandths, field)) / thousandthsPerToken;
}

lease_request_item readRequestItem(const nlohmann::json &value, std::uint64_t sequence)
{
    const auto [account, waiting, demand, distance, capacity, level, returned, rate] =
        readFields<requestFieldCount>(value);
    return {.account = account_id{readUint32(account)},
            .appliedSequence = distance == 0 ? 0 : sequence - checkAtMost(sequence, distance),
            .heldRate = readTokens(rate),
            .heldCapacity = readTokens(capacity),
            .level = readTokens(level),
            .returnedTokens = readTokens(returned),
            .demand = readTokens(demand),
            .waiting = readUint32(waiting)};
}

lease_grant_item readGrantItem(const nlohmann::json &value)
{
    const auto [account, lifetime, capacity, tokens, rate, retryAfter] = readFields<grantFieldCount>(value);
    return {.account = account_id{readUint32(account)},
            .rate = readTokens(rate),
            .capacity = readTokens(capacity),
            .tokens = readTokens(tokens),
            .lifetime = std::chrono::milliseconds(checkAtMost(maxMilliseconds, lifetime)),
            .retryAfter = duration(static_cast<duration::rep>(checkAtMost(maxMicroseconds, retryAfter)))};
}

lease_request readRequest(std::uint64_t sequence, const nlohmann::json &values)
{
    lease_request request{.sequence = sequence};
    request.items.reserve(values.size());
    for (const nlohmann::json &value : values) {
        request.items.push_back(readRequestItem(value, sequence));
    }
    return request;
}

lease_grant readGrant(std::uint64_t sequence, const nlohmann::json &values)
{
    lease_grant grant{.sequence = sequence};
    grant.items.reserve(values.size());
    for (const nlohmann::json &value : values) {
        grant.items.push_back(readGrantItem(value));
    }
    return grant;
}

share_release readRelease(const nlohmann::json &values)
{
    share_release release;
    release.slots.reserve(values.size());
    for (const nlohmann::json &value : values) {
        const auto [slot, usableAfter, roundHigh, roundLow] = readFields<releaseFieldCount>(value);
        release.round = std::uint64_t{readUint32(roundHigh)} << roundHalfBits | readUint32(roundLow);
        release.slots.push_back({.slot = static_cast<limit_slot>(checkAtMost(maxSlots - 1, slot)),
                                 .usableAfter = std::chrono::milliseconds(checkAtMost(maxMilliseconds, usableAfter))});
    }
    return release;
}

} // namespace

byte_buffer encodeLimitMessage(const limit_message &message)
{
    return encodeCbor(std::visit([](const auto &content) { return toJson(content); }, message));
}

limit_message decodeLimitMessage(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxLimitMessageBytes);
    cbor_fields fields(value, "limit message", 3);
    const auto kind = fields.enumerator(message_kind::LeaseGrant);
    const auto number = fields.integer<std::uint64_t>();
    const bool aboutSlots = kind == message_kind::ShareRequest || kind == message_kind::ShareDelegation;
    const nlohmann::json &content = fields.array(aboutSlots ? maxSlots : maxItems);
    switch (kind) {
    case message_kind::ShareRequest:
        return share_request{.round = number, .slots = readSlots(content)};
    case message_kind::ShareDelegation:
        return share_delegation{.round = number, .slots = readSlots(content)};
    case message_kind::LeaseRequest:
        return readRequest(number, content);
    case message_kind::LeaseGrant:
        break;
    }
    if (number == releaseNumber) {
        return readRelease(content);
    }
    return readGrant(number, content);
}

} // namespace guavafront
