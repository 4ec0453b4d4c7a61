#include "wire/health_codec.h"

#include "wire/cbor_fields.h"

#include <nlohmann/json.hpp>

namespace guavafront
{

namespace
{

constexpr std::size_t maxBytes = 4'096;
constexpr std::size_t maxInstances = 512;
constexpr std::size_t maxNameBytes = 64;

nlohmann::json idsToCbor(std::span<const instance_id> instances)
{
    nlohmann::json list = nlohmann::json::array();
    for (const instance_id instance : instances) {
        list.push_back(instance.value);
    }
    return list;
}

std::vector<instance_id> idsFromCbor(const nlohmann::json &list, std::string_view what)
{
    cbor_fields fields(list, what, list.size());
    std::vector<instance_id> instances;
    for (std::size_t index = 0; index < list.size(); ++index) {
        instances.push_back({fields.integer<std::uint64_t>()});
    }
    return instances;
}

} // namespace

std::vector<std::byte> encodeHealthReport(const health_report &report)
{
    nlohmann::json suspects = nlohmann::json::array();
    for (const suspicion &each : report.suspicions) {
        suspects.push_back(nlohmann::json::array({each.instance.value, static_cast<std::uint8_t>(each.level)}));
    }
    return encodeCbor(nlohmann::json::array({report.dataCentre, suspects, idsToCbor(report.consents)}));
}

health_report decodeHealthReport(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxBytes);
    cbor_fields fields(value, "health report", 3);
    health_report report{.dataCentre = fields.text(maxNameBytes)};
    for (const nlohmann::json &element : fields.array(maxInstances)) {
        cbor_fields parts(element, "suspicion", 2);
        const instance_id instance{parts.integer<std::uint64_t>()};
        report.suspicions.push_back({instance, parts.enumerator(suspicion_level::Held)});
    }
    report.consents = idsFromCbor(fields.array(maxInstances), "consents");
    return report;
}

std::vector<std::byte> encodeDeath(const lost_request &death)
{
    return encodeCbor(nlohmann::json::array(
        {death.attempt.request.value, death.attempt.instance.value, death.account.value, death.route.value}));
}

lost_request decodeDeath(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxBytes);
    cbor_fields fields(value, "death", 4);
    lost_request death;
    death.attempt.request = {fields.integer<std::uint64_t>()};
    death.attempt.instance = {fields.integer<std::uint64_t>()};
    death.account = {fields.integer<std::uint32_t>()};
    death.route = {fields.integer<std::uint32_t>()};
    return death;
}

std::vector<std::byte> encodeRelease(const quarantine_release &release)
{
    return encodeCbor(nlohmann::json::array({release.request.value, idsToCbor(release.forgiven)}));
}

quarantine_release decodeRelease(std::span<const std::byte> bytes)
{
    const nlohmann::json value = parseCbor(bytes, maxBytes);
    cbor_fields fields(value, "release", 2);
    quarantine_release release{.request = {fields.integer<std::uint64_t>()}};
    release.forgiven = idsFromCbor(fields.array(maxInstances), "forgiven instances");
    return release;
}

} // namespace guavafront
