#include "wire/departure_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxMessageBytes = std::size_t{32} << 10;
constexpr std::size_t maxNameBytes = 128;

enum class message_kind : std::uint8_t { ToHold, Held, PassedOn, Confirmed };

json toJson(const departure &value)
{
    return json::array({value.name, value.processStartMs, value.sequence, static_cast<std::uint8_t>(value.state)});
}

json toJson(const departures_to_hold &message)
{
    json list = json::array();
    for (const numbered_departure &each : message.departures) {
        list.push_back(json::array({each.number, toJson(each.what)}));
    }
    return list;
}

json toJson(const departures_held &message)
{
    return message.numbers;
}

json toJson(const departures_passed_on &message)
{
    json list = json::array();
    for (const departure &each : message.departures) {
        list.push_back(toJson(each));
    }
    return list;
}

json toJson(const departures_confirmed &message)
{
    return message.fingerprints;
}

departure departureFrom(const json &encoded)
{
    cbor_fields fields(encoded, "departure", 4);
    departure value;
    value.name = fields.text(maxNameBytes);
    value.processStartMs = fields.integer<std::uint64_t>();
    value.sequence = fields.integer<std::uint64_t>();
    value.state = fields.enumerator(instance_state::Leaving);
    if (value.name.empty() || value.state < instance_state::Draining) {
        throw coordination_error(result_code::MessageMalformed, "departure: no name, or a state that isn't one");
    }
    return value;
}

departure_message toHoldFrom(const json &content)
{
    departures_to_hold message;
    for (const json &each : content) {
        cbor_fields fields(each, "numbered departure", 2);
        const auto number = fields.integer<std::uint64_t>();
        message.departures.push_back({number, departureFrom(fields.array(4))});
    }
    return message;
}

std::vector<std::uint64_t> numbersFrom(const json &content)
{
    std::vector<std::uint64_t> numbers;
    cbor_fields fields(content, "receipts", content.size());
    for (std::size_t index = 0; index < content.size(); ++index) {
        numbers.push_back(fields.integer<std::uint64_t>());
    }
    return numbers;
}

departure_message passedOnFrom(const json &content)
{
    departures_passed_on message;
    for (const json &each : content) {
        message.departures.push_back(departureFrom(each));
    }
    return message;
}

} // namespace

std::vector<std::byte> encodeDepartures(const departure_message &message)
{
    return encodeCbor(
        json::array({message.index(), std::visit([](const auto &each) { return toJson(each); }, message)}));
}

departure_message decodeDepartures(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxMessageBytes);
    cbor_fields fields(value, "departures", 2);
    const auto kind = fields.enumerator(message_kind::Confirmed);
    const json &content = fields.array(maxDeparturesPerMessage);
    switch (kind) {
    case message_kind::ToHold:
        return toHoldFrom(content);
    case message_kind::Held:
        return departures_held{numbersFrom(content)};
    case message_kind::PassedOn:
        return passedOnFrom(content);
    case message_kind::Confirmed:
        break;
    }
    return departures_confirmed{numbersFrom(content)};
}

} // namespace guavafront
