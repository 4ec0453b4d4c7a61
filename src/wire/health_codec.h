#pragma once

#include <guavafront/coordination/health/shared_evidence.h>
#include <guavafront/coordination/quarantine/quarantine.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Names of the quarantine's spread entries that are releases begin so; the others are deaths.
constexpr std::string_view releasePrefix = "release/";

/// Deaths of a request that an operator forgave, as it goes to the other VMs.
struct quarantine_release {
    request_fingerprint request; ///< The request.
    std::vector<instance_id> forgiven; ///< Instances.

    /// Memberwise equality.
    bool operator==(const quarantine_release &) const = default;
};

/// CBOR of a health report, one for each VM.
std::vector<std::byte> encodeHealthReport(const health_report &report);

/// Reads encodeHealthReport()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
health_report decodeHealthReport(std::span<const std::byte> bytes);

/// CBOR of a death; its time stays at the VM.
std::vector<std::byte> encodeDeath(const lost_request &death);

/// Reads encodeDeath()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
lost_request decodeDeath(std::span<const std::byte> bytes);

/// CBOR of a release.
std::vector<std::byte> encodeRelease(const quarantine_release &release);

/// Reads encodeRelease()'s bytes. Throws coordination_error (MessageTooLarge, MessageMalformed).
quarantine_release decodeRelease(std::span<const std::byte> bytes);

} // namespace guavafront
