#include "wire/envelope.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

namespace guavafront
{

byte_buffer encodeEnvelope(const envelope &message)
{
    auto value = nlohmann::json::array();
    value.push_back(static_cast<std::uint8_t>(message.kind));
    value.push_back(message.version);
    value.push_back(cborBytes(message.body));
    return encodeCbor(value);
}

envelope decodeEnvelope(std::span<const std::byte> bytes, std::size_t maxBytes)
{
    const nlohmann::json value = parseCbor(bytes, maxBytes);
    cbor_fields fields(value, "envelope", 3);
    const auto kind = fields.integer<std::uint8_t>();
    const auto version = fields.integer<std::uint8_t>();
    const std::span<const std::byte> body = fields.bytes(maxBytes);
    if (kind > static_cast<std::uint8_t>(channel::Last)) {
        throw coordination_error(result_code::MessageUnknown, "unknown channel " + std::to_string(kind));
    }
    return {.kind = static_cast<channel>(kind), .version = version, .body = {body.begin(), body.end()}};
}

} // namespace guavafront
