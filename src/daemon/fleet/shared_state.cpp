#include "daemon/fleet/shared_state.h"

#include "wire/claims_codec.h"
#include "wire/health_codec.h"
#include "wire/registry_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <array>
#include <charconv>
#include <string>
#include <string_view>

namespace guavafront
{

namespace
{

constexpr std::string_view claimsMemberName = "member";
constexpr std::string_view claimsViewName = "view";
constexpr std::string_view deathPrefix = "death:";
constexpr int hexBase = 16;

std::string hexOf(std::uint64_t number)
{
    std::array<char, 2 * sizeof number> digits{};
    char *end = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexBase).ptr;
    return std::string(digits.data(), end);
}

instance_id parseInstanceId(std::string_view name)
{
    instance_id instance;
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), end, instance.value, hexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        throw coordination_error(result_code::MessageMalformed, "name of a spread entry is not an instance id");
    }
    return instance;
}

entry_event instanceEvent(const spread_entry &entry)
{
    if (entry.removed) {
        return instance_withdrawn{entry.key.owner, parseInstanceId(entry.key.name)};
    }
    return instance_reported{entry.key.owner, decodeAnnouncement(entry.payload)};
}

entry_event healthEvent(const spread_entry &entry)
{
    if (entry.removed) {
        return health_report_lost{entry.key.owner};
    }
    return health_reported{entry.key.owner, decodeHealthReport(entry.payload)};
}

std::optional<entry_event> quarantineEvent(const spread_entry &entry)
{
    if (entry.removed) {
        return std::nullopt; // Reported deaths and releases stay in force until they expire by their own times.
    }
    if (entry.key.name.starts_with(releasePrefix)) {
        quarantine_release record = decodeRelease(entry.payload);
        return release_reported{record.request, std::move(record.forgiven)};
    }
    return death_reported{decodeDeath(entry.payload)};
}

} // namespace

spread_publish publicationOf(const publish_instance &effect)
{
    return {spread_topic::Instances, hexOf(effect.announced.instance.value), encodeAnnouncement(effect.announced)};
}

spread_withdraw publicationOf(const withdraw_instance &effect)
{
    return {spread_topic::Instances, hexOf(effect.instance.value)};
}

spread_publish publicationOf(const publish_health &effect)
{
    return {spread_topic::Health, "report", encodeHealthReport(effect.report)};
}

spread_publish publicationOf(const publish_death &effect)
{
    const std::string name = std::string(deathPrefix) + hexOf(effect.death.attempt.request.value) + "@"
                             + hexOf(effect.death.attempt.instance.value);
    return {spread_topic::Quarantine, name, encodeDeath(effect.death)};
}

spread_publish publicationOf(const publish_release &effect)
{
    return {spread_topic::Quarantine, std::string(releasePrefix) + hexOf(effect.request.value),
            encodeRelease({effect.request, effect.forgiven})};
}

spread_publish publicationOf(const publish_claims_member &effect)
{
    return {spread_topic::Claims, std::string(claimsMemberName), encodeClaimsMember(effect.member)};
}

spread_publish publicationOf(const claims_view &agreed)
{
    return {spread_topic::Claims, std::string(claimsViewName), encodeClaimsView(agreed)};
}

std::optional<claims_member> claimsMemberOf(const spread_entry &entry)
{
    if (entry.key.topic != spread_topic::Claims || entry.key.name != claimsMemberName || entry.removed) {
        return std::nullopt;
    }
    claims_member member = decodeClaimsMember(entry.payload);
    member.id = entry.key.owner; // A VM can offer only itself.
    return member;
}

std::optional<entry_event> eventOf(const spread_entry &entry)
{
    switch (entry.key.topic) {
    case spread_topic::Instances:
        return instanceEvent(entry);
    case spread_topic::Health:
        return healthEvent(entry);
    case spread_topic::Quarantine:
        return quarantineEvent(entry);
    case spread_topic::Claims:
        if (entry.key.name == claimsViewName && !entry.removed) {
            return claims_view_changed{decodeClaimsView(entry.payload)};
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

} // namespace guavafront
