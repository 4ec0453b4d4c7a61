#include "wire/envelope.h"

#include "wire/cbor_reader.h"
#include "wire/cbor_writer.h"
#include "wire/deflate.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <optional>
#include <string>
#include <utility>

namespace guavafront
{

namespace
{

/// Smaller bodies aren't worth the processor time.
constexpr std::size_t minCompressedBytes = 2'048;
/// Size of the sample that tells whether a body is compressed already, as configurations in the replicated log are.
constexpr std::size_t sampleBytes = 4'096;
/// Bodies from this size on are sampled.
constexpr std::size_t minSampledBytes = 4 * sampleBytes;
constexpr std::size_t plainFields = 3;
constexpr std::size_t compressedFields = 4;

/// Whether compressing the body saves enough to be worth the processor time: more than an eighth of a sample from its
/// middle.
bool isWorthCompressing(std::span<const std::byte> body)
{
    if (body.size() < minSampledBytes) {
        return body.size() >= minCompressedBytes;
    }
    const std::span sample = body.subspan(body.size() / 2, sampleBytes);
    return deflated(sample).size() < sampleBytes - sampleBytes / 8;
}

/// The compressed body; nothing if it wouldn't be smaller.
std::optional<byte_buffer> compressed(std::span<const std::byte> body)
{
    if (!isWorthCompressing(body)) {
        return std::nullopt;
    }
    byte_buffer smaller = deflated(body);
    return smaller.size() < body.size() ? std::optional(std::move(smaller)) : std::nullopt;
}

} // namespace

byte_buffer encodeEnvelope(const envelope &message, body_compression compression)
{
    const std::optional<byte_buffer> smaller =
        compression == body_compression::IfSmaller ? compressed(message.body) : std::nullopt;
    cbor_writer out;
    out.beginArray(smaller ? compressedFields : plainFields);
    out.integer(static_cast<std::uint8_t>(message.kind));
    out.integer(message.version);
    out.bytes(smaller ? *smaller : message.body);
    if (smaller) {
        out.boolean(true);
    }
    return out.take();
}

envelope decodeEnvelope(std::span<const std::byte> bytes, std::size_t maxBytes)
{
    cbor_reader in(bytes, maxBytes);
    const std::size_t fields = in.beginArray(compressedFields);
    if (fields < plainFields) {
        throw coordination_error(result_code::MessageMalformed, "malformed envelope");
    }
    const auto kind = in.integer<std::uint8_t>();
    const auto version = in.integer<std::uint8_t>();
    const std::span<const std::byte> body = in.bytes(maxBytes);
    const bool isCompressed = fields == compressedFields && in.boolean();
    in.finish();
    if (kind > static_cast<std::uint8_t>(channel::Last)) {
        throw coordination_error(result_code::MessageUnknown, "unknown channel " + std::to_string(kind));
    }
    envelope message{.kind = static_cast<channel>(kind), .version = version, .body = {}};
    if (isCompressed) {
        message.body = inflated(body, maxBytes);
    } else {
        message.body.assign(body.begin(), body.end());
    }
    return message;
}

} // namespace guavafront
