#include "wire/catch_up_codec.h"

#include "wire/cbor_fields.h"
#include "wire/registry_codec.h"

#include <utility>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxMessageBytes = std::size_t{128} << 10;
constexpr std::size_t maxInstanceBytes = 1'024;

json toJson(const instances_request &message)
{
    return json::array({message.fingerprint});
}

json toJson(const instances_list &message)
{
    json list = json::array();
    for (const instance_record &each : message.instances) {
        list.push_back(json::array({each.registrar.value, cborBytes(encodeAnnouncement(each.last))}));
    }
    return list;
}

instance_record instanceFrom(const json &encoded)
{
    cbor_fields fields(encoded, "instance record", 2);
    instance_record record;
    record.registrar.value = fields.integer<std::uint64_t>();
    record.last = decodeAnnouncement(fields.bytes(maxInstanceBytes));
    return record;
}

} // namespace

std::vector<std::byte> encodeCatchUp(const catch_up_message &message)
{
    return encodeCbor(
        json::array({message.index(), std::visit([](const auto &each) { return toJson(each); }, message)}));
}

catch_up_message decodeCatchUp(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxMessageBytes);
    cbor_fields fields(value, "catch-up", 2);
    const std::uint64_t kind = fields.integerUpTo(std::variant_size_v<catch_up_message> - 1);
    const json &content = fields.array(maxInstancesPerMessage);
    if (kind == 0) {
        cbor_fields request(content, "instances request", 1);
        return instances_request{request.integer<std::uint64_t>()};
    }
    instances_list list;
    for (const json &each : content) {
        list.instances.push_back(instanceFrom(each));
    }
    return list;
}

} // namespace guavafront
