#include "wire/warmup_codec.h"

#include "wire/cbor_fields.h"

#include <chrono>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxMessageBytes = std::size_t{32} << 10;
/// Longest warm-up time that an announcement may contain.
constexpr std::uint64_t longestMs = 600'000;

} // namespace

std::vector<std::byte> encodeWarmups(std::span<const warmup_notice> notices)
{
    json list = json::array();
    for (const warmup_notice &each : notices) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(each.left).count();
        list.push_back(json::array({each.instance.value, static_cast<std::uint64_t>(left)}));
    }
    return encodeCbor(list);
}

std::vector<warmup_notice> decodeWarmups(std::span<const std::byte> encoded)
{
    const json list = parseCbor(encoded, maxMessageBytes);
    const json wrapped = json::array({list});
    cbor_fields outer(wrapped, "warm-ups", 1);
    std::vector<warmup_notice> notices;
    for (const json &each : outer.array(maxWarmupNotices)) {
        cbor_fields fields(each, "warm-up", 2);
        warmup_notice notice;
        notice.instance.value = fields.integer<std::uint64_t>();
        notice.left = std::chrono::milliseconds(fields.integerUpTo(longestMs));
        notices.push_back(notice);
    }
    return notices;
}

} // namespace guavafront
