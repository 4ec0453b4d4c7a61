#include "daemon/token_check.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>

namespace guavafront
{

namespace
{

using token_hash = std::array<unsigned char, crypto_hash_sha256_BYTES>;

token_hash hashOf(std::string_view token)
{
    token_hash hash;
    crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char *>(token.data()), token.size());
    return hash;
}

} // namespace

bool tokenMatches(std::string_view given, std::string_view expected)
{
    const token_hash left = hashOf(given);
    const token_hash right = hashOf(expected);
    return !given.empty() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

http_answer problemAnswer(result_code code, std::string_view text)
{
    const result_code_row &row = describe(code);
    const nlohmann::ordered_json problem{
        {"code", static_cast<int>(code)}, {"name", row.name}, {"title", row.meaning}, {"detail", text}};
    http_answer answer = jsonAnswer(row.httpStatus, problem.dump());
    answer.headers = {{"Content-Type", "application/problem+json"}};
    return answer;
}

http_answer jsonAnswer(int status, std::string_view json)
{
    const std::span<const std::byte> body = bytesOf(json);
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = {body.begin(), body.end()}};
}

} // namespace guavafront
