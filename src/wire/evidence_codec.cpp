#include "wire/evidence_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxEvidenceBytes = std::size_t{16} << 10;
constexpr std::size_t fieldsPerReport = 3;

} // namespace

std::vector<std::byte> encodeEvidence(const evidence_message &message)
{
    json reports = json::array();
    for (const observed_report &each : message.reports) {
        reports.push_back(each.observer.value);
        reports.push_back(each.report.instance.value);
        reports.push_back(static_cast<std::uint8_t>(each.report.kind));
    }
    return encodeCbor(json::array({static_cast<std::uint8_t>(message.stage), message.copy, std::move(reports)}));
}

evidence_message decodeEvidence(std::span<const std::byte> encoded, std::uint8_t version)
{
    if (version != evidenceVersion) {
        throw coordination_error(result_code::MessageUnknown, "evidence: unknown version");
    }
    const json value = parseCbor(encoded, maxEvidenceBytes);
    cbor_fields fields(value, "evidence", 3);
    evidence_message message;
    message.stage = fields.enumerator(evidence_stage::Published);
    message.copy = static_cast<std::uint8_t>(fields.integerUpTo(evidenceCopies - 1));
    const json &list = fields.array(maxReportsPerMessage * fieldsPerReport);
    const std::size_t count = list.size() / fieldsPerReport;
    cbor_fields reports(list, "reports", count * fieldsPerReport);
    for (std::size_t index = 0; index < count; ++index) {
        observed_report each;
        each.observer.value = reports.integer<std::uint64_t>();
        each.report.instance.value = reports.integer<std::uint64_t>();
        each.report.kind = reports.enumerator(instance_report_kind::Leaving);
        message.reports.push_back(each);
    }
    return message;
}

} // namespace guavafront
