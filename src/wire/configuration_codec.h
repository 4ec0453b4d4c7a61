#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of every format below; the first field of each.
constexpr std::uint64_t configurationFormatVersion = 1;
/// Largest encoded configuration or change log that is decoded.
constexpr std::size_t maxConfigurationBytes = std::size_t{32} << 20;
/// Largest encoded change request or list of changes that is decoded.
constexpr std::size_t maxChangesBytes = std::size_t{256} << 10;

/// CBOR of a configuration.
std::vector<std::byte> encodeConfiguration(const configuration &value);

/// The configuration; checked by validate(). Throws coordination_error (MessageTooLarge, MessageMalformed,
/// MessageUnknown, and those of validate()), as do all decoders below.
configuration decodeConfiguration(std::span<const std::byte> encoded);

/// CBOR of a list of changes.
std::vector<std::byte> encodeChanges(std::span<const change> changes);

/// The list of changes.
std::vector<change> decodeChanges(std::span<const std::byte> encoded);

/// CBOR of a change request.
std::vector<std::byte> encodeChangeRequest(const change_request &request);

/// The change request.
change_request decodeChangeRequest(std::span<const std::byte> encoded);

/// CBOR of a proposal, as the replicated log holds it.
std::vector<std::byte> encodeProposal(const change_proposal &proposal);

/// The proposal.
change_proposal decodeProposal(std::span<const std::byte> encoded);

/// CBOR of the replicated state, as snapshots hold it.
std::vector<std::byte> encodeChangeLog(const change_log &log);

/// The replicated state.
change_log decodeChangeLog(std::span<const std::byte> encoded);

/// A proposal whose contentDigest (XXH3 of author and request) is filled in.
change_proposal makeProposal(const change_author &author, const change_request &request);

} // namespace guavafront
