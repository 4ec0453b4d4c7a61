#include "wire/resumption_codec.h"

#include "wire/cbor_fields.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr std::size_t maxResumptionBytes = 1024;
constexpr std::size_t resumptionFields = 4;

} // namespace

byte_buffer encodeResumption(const link_resumption &statement)
{
    auto fields = nlohmann::json::array();
    fields.push_back(cborBytes(statement.link));
    fields.push_back(statement.received);
    fields.push_back(statement.known);
    fields.push_back(statement.isAnswer);
    return encodeCbor(fields);
}

link_resumption decodeResumption(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxResumptionBytes);
    cbor_fields fields(value, "link resumption", std::max(value.is_array() ? value.size() : 0, resumptionFields));
    link_resumption statement;
    fields.bytesInto(statement.link);
    statement.received = fields.integer<std::uint64_t>();
    statement.known = fields.boolean();
    statement.isAnswer = fields.boolean();
    return statement;
}

} // namespace guavafront
