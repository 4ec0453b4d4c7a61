#include "wire/evidence_codec.h"

#include "wire/cbor_fields.h"

namespace guavafront
{

namespace
{

constexpr std::size_t maxEvidenceBytes = 64;

} // namespace

std::vector<std::byte> encodeEvidence(const instance_evidence &value)
{
    return encodeCbor(nlohmann::json::array({value.instance.value, static_cast<std::uint8_t>(value.sign)}));
}

instance_evidence decodeEvidence(std::span<const std::byte> encoded)
{
    const nlohmann::json value = parseCbor(encoded, maxEvidenceBytes);
    cbor_fields fields(value, "evidence", 2);
    instance_evidence evidence;
    evidence.instance.value = fields.whole<std::uint64_t>();
    evidence.sign = fields.oneOf(instance_sign::Sound);
    return evidence;
}

} // namespace guavafront
