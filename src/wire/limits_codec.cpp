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
constexpr double thousandths = 1'000;
/// Largest amount of tokens that a message carries.
constexpr std::uint64_t maxThousandths = 1'000'000'000'000;
constexpr std::uint64_t maxMicroseconds = 3'600'000'000;
constexpr std::uint64_t maxMilliseconds = 3'600'000;
/// Fields of one account in a request and in a grant.
constexpr std::size_t requestFields = 8;
constexpr std::size_t grantFields = 6;

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

/// The sequence number of a grant in force as a distance, which is short; 0 stands for none.
std::uint64_t distanceTo(std::uint64_t applied, std::uint64_t sequence)
{
    return applied == 0 || applied >= sequence ? 0 : sequence - applied;
}

/// Fields of an item in the order of their numbers. Those that are rarely set come last, since zeros at the end are
/// left out: most requests ask for the first token of an account, and most grants are such a token.
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
    return encodeFields<requestFields>({item.account.value, item.waiting, roundedUp(item.demand),
                                        distanceTo(item.appliedSequence, sequence), roundedUp(item.heldCapacity),
                                        roundedDown(item.level), roundedDown(item.returnedTokens),
                                        roundedUp(item.heldRate)});
}

nlohmann::json encodeItem(const lease_grant_item &item, std::uint64_t /*sequence*/)
{
    const auto lifetime = std::chrono::floor<std::chrono::milliseconds>(item.lifetime);
    return encodeFields<grantFields>({item.account.value, static_cast<std::uint64_t>(lifetime.count()),
                                      roundedDown(item.capacity), roundedDown(item.tokens), roundedDown(item.rate),
                                      static_cast<std::uint64_t>(item.retryAfter.count())});
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

/// Reads encodeFields()'s array.
template<std::size_t count>
std::array<std::uint64_t, count> readFields(const nlohmann::json &value)
{
    if (!value.is_array() || value.size() > count) {
        malformed("malformed lease");
    }
    std::array<std::uint64_t, count> fields{};
    for (std::size_t index = 0; index < value.size(); ++index) {
        if (!value[index].is_number_unsigned()) {
            malformed("malformed lease");
        }
        fields[index] = value[index].get<std::uint64_t>();
    }
    return fields;
}

std::uint64_t upTo(std::uint64_t maximum, std::uint64_t field)
{
    if (field > maximum) {
        malformed("lease out of range");
    }
    return field;
}

std::uint32_t readWhole(std::uint64_t field)
{
    return static_cast<std::uint32_t>(upTo(std::numeric_limits<std::uint32_t>::max(), field));
}

double readTokens(std::uint64_t field)
{
    return static_cast<double>(upTo(maxThousandths, field)) / thousandths;
}

lease_request_item readRequestItem(const nlohmann::json &value, std::uint64_t sequence)
{
    const auto [account, waiting, demand, distance, capacity, level, returned, rate] = readFields<requestFields>(value);
    return {.account = account_id{readWhole(account)},
            .appliedSequence = distance == 0 ? 0 : sequence - upTo(sequence, distance),
            .heldRate = readTokens(rate),
            .heldCapacity = readTokens(capacity),
            .level = readTokens(level),
            .returnedTokens = readTokens(returned),
            .demand = readTokens(demand),
            .waiting = readWhole(waiting)};
}

lease_grant_item readGrantItem(const nlohmann::json &value)
{
    const auto [account, lifetime, capacity, tokens, rate, retryAfter] = readFields<grantFields>(value);
    return {.account = account_id{readWhole(account)},
            .rate = readTokens(rate),
            .capacity = readTokens(capacity),
            .tokens = readTokens(tokens),
            .lifetime = std::chrono::milliseconds(upTo(maxMilliseconds, lifetime)),
            .retryAfter = duration(static_cast<duration::rep>(upTo(maxMicroseconds, retryAfter)))};
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
