#include "wire/answer_codec.h"

#include "wire/cbor_fields.h"

namespace guavafront
{

namespace
{

constexpr std::uint64_t formatVersion = 1;
constexpr std::size_t maxAnswerBytes = std::size_t{1} << 20;
constexpr std::size_t maxHeaders = 256;
constexpr std::size_t maxFieldBytes = std::size_t{64} << 10;
constexpr std::uint64_t maxStatus = 599;

} // namespace

std::vector<std::byte> encodeAnswer(const http_answer &answer)
{
    nlohmann::json headers = nlohmann::json::array();
    for (const http_header &field : answer.headers) {
        headers.push_back(nlohmann::json::array({cborBytes(bytesOf(field.name)), cborBytes(bytesOf(field.value))}));
    }
    return encodeCbor(nlohmann::json::array(
        {formatVersion, static_cast<std::uint64_t>(answer.status), std::move(headers), cborBytes(answer.body)}));
}

http_answer decodeAnswer(std::span<const std::byte> encoded)
{
    const nlohmann::json value = parseCbor(encoded, maxAnswerBytes);
    cbor_fields fields(value, "stored answer", 4);
    fields.checkVersion(formatVersion);
    http_answer answer;
    answer.status = static_cast<int>(fields.integerUpTo(maxStatus));
    for (const nlohmann::json &each : fields.array(maxHeaders)) {
        cbor_fields field(each, "header field of a stored answer", 2);
        http_header &header = answer.headers.emplace_back();
        header.name = textOf(field.bytes(maxFieldBytes));
        header.value = textOf(field.bytes(maxFieldBytes));
    }
    const std::span<const std::byte> body = fields.bytes(maxAnswerBytes);
    answer.body.assign(body.begin(), body.end());
    return answer;
}

} // namespace guavafront
