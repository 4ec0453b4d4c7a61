#pragma once

#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/claims/claims_view.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of all formats in this header; it is the first field of each.
constexpr std::uint64_t claimsFormatVersion = 1;
/// Largest encoded claim message that is decoded, in bytes.
constexpr std::size_t maxClaimMessageBytes = std::size_t{1} << 20;
/// Largest encoded claims view or claims member that is decoded, in bytes.
constexpr std::size_t maxClaimsViewBytes = std::size_t{64} << 10;

/// Encodes a claim message as CBOR.
std::vector<std::byte> encodeClaimMessage(const claim_message &message);

/// Decodes what encodeClaimMessage() wrote. All decoders in this header throw coordination_error (MessageTooLarge,
/// MessageMalformed, MessageUnknown).
claim_message decodeClaimMessage(std::span<const std::byte> encoded);

/// Encodes the description of a VM that can store claims as CBOR.
std::vector<std::byte> encodeClaimsMember(const claims_member &member);

/// Decodes what encodeClaimsMember() wrote.
claims_member decodeClaimsMember(std::span<const std::byte> encoded);

/// Encodes a claims view as CBOR.
std::vector<std::byte> encodeClaimsView(const claims_view &view);

/// Decodes what encodeClaimsView() wrote. Checks that the members are sorted by id and that there are at most
/// claimsMemberLimit.
claims_view decodeClaimsView(std::span<const std::byte> encoded);

} // namespace guavafront
