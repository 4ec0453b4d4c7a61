#include "wire/registry_codec.h"

#include "wire/announcement_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

namespace guavafront
{

namespace
{

constexpr std::size_t maxAnnouncementBytes = 1'024;
constexpr std::size_t fieldCount = 12;
constexpr std::size_t maxInstanceNameBytes = 128;

announcement fromArray(const nlohmann::json &fields)
{
    if (!fields.is_array() || fields.size() != fieldCount) {
        throw coordination_error(result_code::MessageMalformed, "announcement: not an array of twelve fields");
    }
    const std::optional<instance_state> state = parseState(fields[7].get_ref<const std::string &>());
    if (!state) {
        throw coordination_error(result_code::MessageMalformed, "announcement: unknown state");
    }
    return {.instance = {fields[0].get<std::uint64_t>()},
            .name = fields[10].get<std::string>(),
            .processStartMs = fields[11].get<std::uint64_t>(),
            .sequence = fields[1].get<std::uint64_t>(),
            .service = fields[2].get<std::string>(),
            .ip = fields[3].get<std::string>(),
            .port = fields[4].get<std::uint16_t>(),
            .dataCentre = fields[5].get<std::string>(),
            .slots = fields[6].get<std::uint16_t>(),
            .state = *state,
            .load = fields[8].get<float>(),
            .lease = std::chrono::milliseconds(fields[9].get<std::uint32_t>())};
}

} // namespace

std::vector<std::byte> encodeAnnouncement(const announcement &value)
{
    const auto leaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(value.lease).count();
    const nlohmann::json fields{value.instance.value, value.sequence,   value.service, value.ip,
                                value.port,           value.dataCentre, value.slots,   stateName(value.state),
                                value.load,           leaseMs,          value.name,    value.processStartMs};
    const std::vector<std::uint8_t> encoded = nlohmann::json::to_cbor(fields);
    const auto bytes = std::as_bytes(std::span(encoded));
    return {bytes.begin(), bytes.end()};
}

announcement decodeAnnouncement(std::span<const std::byte> bytes)
{
    if (bytes.size() > maxAnnouncementBytes) {
        throw coordination_error(result_code::MessageTooLarge, "announcement: too large");
    }
    try {
        const auto *first = reinterpret_cast<const std::uint8_t *>(bytes.data());
        announcement value = fromArray(nlohmann::json::from_cbor(first, first + bytes.size()));
        if (value.name.size() > maxInstanceNameBytes) {
            throw coordination_error(result_code::MessageMalformed, "announcement: the name is too long");
        }
        if (const std::optional<std::string> fault = findFault(value)) {
            throw coordination_error(result_code::MessageMalformed, "announcement: " + *fault);
        }
        return value;
    } catch (const nlohmann::json::exception &) {
        throw coordination_error(result_code::MessageMalformed,
                                 "announcement: invalid CBOR or a field of the wrong type");
    }
}

} // namespace guavafront
