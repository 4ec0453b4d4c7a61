#include "wire/envelope.h"

#include "wire/cbor_fields.h"
#include "wire/deflate.h"

#include <guavafront/coordination/core/coordination_error.h>

namespace guavafront
{

namespace
{

/// Smaller bodies aren't worth the processor time.
constexpr std::size_t minCompressedBytes = 2'048;
constexpr std::size_t plainFields = 3;
constexpr std::size_t compressedFields = 4;

} // namespace

byte_buffer encodeEnvelope(const envelope &message, body_compression compression)
{
    auto value = nlohmann::json::array();
    value.push_back(static_cast<std::uint8_t>(message.kind));
    value.push_back(message.version);
    if (compression == body_compression::IfSmaller && message.body.size() >= minCompressedBytes) {
        const std::vector<std::byte> smaller = deflated(message.body);
        if (smaller.size() < message.body.size()) {
            value.push_back(cborBytes(smaller));
            value.push_back(true);
            return encodeCbor(value);
        }
    }
    value.push_back(cborBytes(message.body));
    return encodeCbor(value);
}

envelope decodeEnvelope(std::span<const std::byte> bytes, std::size_t maxBytes)
{
    const nlohmann::json value = parseCbor(bytes, maxBytes);
    const bool hasFlag = value.is_array() && value.size() == compressedFields;
    cbor_fields fields(value, "envelope", hasFlag ? compressedFields : plainFields);
    const auto kind = fields.integer<std::uint8_t>();
    const auto version = fields.integer<std::uint8_t>();
    const std::span<const std::byte> body = fields.bytes(maxBytes);
    if (kind > static_cast<std::uint8_t>(channel::Last)) {
        throw coordination_error(result_code::MessageUnknown, "unknown channel " + std::to_string(kind));
    }
    envelope message{.kind = static_cast<channel>(kind), .version = version, .body = {}};
    if (hasFlag && fields.boolean()) {
        message.body = inflated(body, maxBytes);
    } else {
        message.body.assign(body.begin(), body.end());
    }
    return message;
}

} // namespace guavafront
