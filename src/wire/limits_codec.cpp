#include "wire/limits_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr std::size_t maxSlots = 4'096;
constexpr std::size_t maxItems = 16'384;
constexpr double thousandths = 1'000;
/// Largest amount of tokens that a message carries.
constexpr std::uint64_t maxThousandths = 1'000'000'000'000;
constexpr std::uint64_t maxMicroseconds = 3'600'000'000;

/// First field of a message; numbers are stable between versions.
enum class message_kind : std::uint8_t {
    ShareRequest,
    ShareDelegation,
    LeaseRequest,
    LeaseGrant,
};

std::uint64_t bounded(double scaled)
{
    return static_cast<std::uint64_t>(std::clamp(scaled, 0.0, static_cast<double>(maxThousandths)));
}

std::uint64_t roundedDown(double tokens)
{
    return bounded(std::floor(tokens * thousandths));
}

std::uint64_t roundedUp(double tokens)
{
    return bounded(std::ceil(tokens * thousandths));
}

double readTokens(cbor_fields &fields)
{
    return static_cast<double>(fields.wholeUpTo(maxThousandths)) / thousandths;
}

/// The sequence number of a grant in force as a distance, which is short; 0 stands for none.
std::uint64_t distanceTo(std::uint64_t applied, std::uint64_t sequence)
{
    return applied == 0 || applied >= sequence ? 0 : sequence - applied;
}

nlohmann::json encodeItem(const lease_request_item &item, std::uint64_t sequence)
{
    return {item.account.value,       distanceTo(item.appliedSequence, sequence),
            roundedUp(item.heldRate), roundedUp(item.heldCapacity),
            roundedDown(item.level),  roundedDown(item.returnedTokens),
            roundedUp(item.demand),   item.waiting};
}

nlohmann::json encodeItem(const lease_grant_item &item, std::uint64_t /*sequence*/)
{
    return {item.account.value,
            roundedDown(item.rate),
            roundedDown(item.capacity),
            roundedDown(item.tokens),
            static_cast<std::uint64_t>(item.lifetime.count()),
            static_cast<std::uint64_t>(item.retryAfter.count())};
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

[[noreturn]] void malformed(const char *what)
{
    throw coordination_error(result_code::MessageMalformed, what);
}

std::vector<limit_slot> readSlots(const nlohmann::json &values)
{
    std::vector<limit_slot> slots;
    slots.reserve(values.size());
    for (const nlohmann::json &value : values) {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() >= maxSlots) {
            malformed("malformed slot");
        }
        slots.push_back(value.get<limit_slot>());
    }
    return slots;
}

lease_request_item readRequestItem(const nlohmann::json &value, std::uint64_t sequence)
{
    cbor_fields fields(value, "lease request", 8);
    lease_request_item item;
    item.account.value = fields.whole<std::uint32_t>();
    const std::uint64_t distance = fields.wholeUpTo(sequence);
    item.appliedSequence = distance == 0 ? 0 : sequence - distance;
    item.heldRate = readTokens(fields);
    item.heldCapacity = readTokens(fields);
    item.level = readTokens(fields);
    item.returnedTokens = readTokens(fields);
    item.demand = readTokens(fields);
    item.waiting = fields.whole<std::uint32_t>();
    return item;
}

lease_grant_item readGrantItem(const nlohmann::json &value)
{
    cbor_fields fields(value, "lease grant", 6);
    lease_grant_item item;
    item.account.value = fields.whole<std::uint32_t>();
    item.rate = readTokens(fields);
    item.capacity = readTokens(fields);
    item.tokens = readTokens(fields);
    item.lifetime = duration(static_cast<duration::rep>(fields.wholeUpTo(maxMicroseconds)));
    item.retryAfter = duration(static_cast<duration::rep>(fields.wholeUpTo(maxMicroseconds)));
    return item;
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

} // namespace

byte_buffer encodeLimitMessage(const limit_message &message)
{
    return encodeCbor(std::visit([](const auto &content) { return toJson(content); }, message));
}

limit_message decodeLimitMessage(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxLimitMessageBytes);
    cbor_fields fields(value, "limit message", 3);
    const auto kind = fields.oneOf(message_kind::LeaseGrant);
    const auto number = fields.whole<std::uint64_t>();
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
    return readGrant(number, content);
}

} // namespace guavafront
