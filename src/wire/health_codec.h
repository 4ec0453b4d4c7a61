#pragma once

#include <guavafront/coordination/health/shared_evidence.h>
#include <guavafront/coordination/quarantine/quarantine.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Prefix of the names of those spread entries of the quarantine that are releases. The other entries are deaths.
constexpr std::string_view releasePrefix = "release/";

/// Release of a request from quarantine by an operator, as it is sent to the other VMs. The listed deaths no longer
/// count against the request.
struct quarantine_release {
    request_fingerprint request; ///< Fingerprint of the released request.
    std::vector<instance_id> forgiven; ///< Instances whose deaths the operator forgave.

    /// Memberwise equality.
    bool operator==(const quarantine_release &) const = default;
};

/// Encodes a health report as CBOR. Each VM publishes one.
std::vector<std::byte> encodeHealthReport(const health_report &report);

/// Decodes what encodeHealthReport() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
health_report decodeHealthReport(std::span<const std::byte> bytes);

/// Encodes the death of an instance during a request as CBOR. The time of the death isn't sent.
std::vector<std::byte> encodeDeath(const lost_request &death);

/// Decodes what encodeDeath() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
lost_request decodeDeath(std::span<const std::byte> bytes);

/// Encodes a release as CBOR.
std::vector<std::byte> encodeRelease(const quarantine_release &release);

/// Decodes what encodeRelease() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed).
quarantine_release decodeRelease(std::span<const std::byte> bytes);

} // namespace guavafront
