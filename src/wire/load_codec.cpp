#include "wire/load_codec.h"

#include "wire/cbor_fields.h"

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxMessageBytes = std::size_t{256} << 10;
constexpr std::size_t maxLoads = 20'000;

} // namespace

std::vector<std::byte> encodeLoads(const load_message &message)
{
    json loads = json::array();
    for (const instance_load &each : message.loads) {
        const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(each.age).count();
        loads.push_back(each.instance.value);
        loads.push_back(each.requests);
        loads.push_back(ageMs > 0 ? ageMs : 0);
    }
    return encodeCbor(json::array({static_cast<std::uint8_t>(message.stage), std::move(loads)}));
}

load_message decodeLoads(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxMessageBytes);
    cbor_fields fields(value, "loads", 2);
    load_message message;
    message.stage = fields.enumerator(load_stage::Published);
    const json &list = fields.array(maxLoads * 3);
    cbor_fields loads(list, "loads", list.size() / 3 * 3);
    for (std::size_t index = 0; index < list.size() / 3; ++index) {
        instance_load each;
        each.instance.value = loads.integer<std::uint64_t>();
        each.requests = loads.integer<std::uint32_t>();
        each.age = std::chrono::milliseconds(loads.integer<std::uint32_t>());
        message.loads.push_back(each);
    }
    return message;
}

} // namespace guavafront
