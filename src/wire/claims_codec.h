#pragma once

#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/claims/claims_view.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of the formats below; the first field of each.
constexpr std::uint64_t claimsFormatVersion = 1;
/// Largest encoded message about claims that is decoded.
constexpr std::size_t maxClaimMessageBytes = std::size_t{1} << 20;
/// Largest encoded view that is decoded.
constexpr std::size_t maxClaimsViewBytes = std::size_t{64} << 10;

/// CBOR of a message about claims.
std::vector<std::byte> encodeClaimMessage(const claim_message &message);

/// The message. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown), as does the one below.
claim_message decodeClaimMessage(std::span<const std::byte> encoded);

/// CBOR of a VM that can keep claims.
std::vector<std::byte> encodeClaimsMember(const claims_member &member);

/// The member.
claims_member decodeClaimsMember(std::span<const std::byte> encoded);

/// CBOR of a view.
std::vector<std::byte> encodeClaimsView(const claims_view &view);

/// The view; its members are in order and within the limit.
claims_view decodeClaimsView(std::span<const std::byte> encoded);

} // namespace guavafront
