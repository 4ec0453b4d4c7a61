#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Version of all formats in this header; it is the first field of each.
constexpr std::uint64_t configurationFormatVersion = 1;
/// Largest encoded configuration or change log that is decoded, in bytes.
constexpr std::size_t maxConfigurationBytes = std::size_t{32} << 20;
/// Largest encoded change request or list of changes that is decoded, in bytes.
constexpr std::size_t maxChangesBytes = std::size_t{256} << 10;
/// Largest encoded proposal, in bytes: one record of the replicated log, which fits into a message between VMs together
/// with the records before it (replica_options::maxMessageBytes).
constexpr std::size_t maxProposalBytes = std::size_t{768} << 10;

/// Encodes a configuration as CBOR.
std::vector<std::byte> encodeConfiguration(const configuration &value);

/// Decodes what encodeConfiguration() wrote and checks it with validate(). Throws coordination_error with the codes of
/// validate(). All decoders in this header throw coordination_error (MessageTooLarge, MessageMalformed,
/// MessageUnknown).
configuration decodeConfiguration(std::span<const std::byte> encoded);

/// Decodes what encodeConfiguration() wrote, without validate(): applyChanges() validates what comes of an edit.
configuration decodeUncheckedConfiguration(std::span<const std::byte> encoded);

/// Encodes a list of changes as CBOR.
std::vector<std::byte> encodeChanges(std::span<const change> changes);

/// Decodes what encodeChanges() wrote.
std::vector<change> decodeChanges(std::span<const std::byte> encoded);

/// Encodes a change request as CBOR.
std::vector<std::byte> encodeChangeRequest(const change_request &request);

/// Decodes what encodeChangeRequest() wrote.
change_request decodeChangeRequest(std::span<const std::byte> encoded);

/// Encodes a proposal as CBOR, the form in which the replicated log stores it.
std::vector<std::byte> encodeProposal(const change_proposal &proposal);

/// Encodes a new proposal of the author's request like encodeProposal(makeProposal(author, request)), but the request
/// only once, and checks that replicas can decode it. Throws coordination_error: RequestTooLarge when it exceeds
/// maxProposalBytes, ChangeInvalid when it can't be decoded.
std::vector<std::byte> encodeNewProposal(const change_author &author, const change_request &request);

/// Checks that replicas can decode an encoded proposal: a record that can't be decoded would stop each of them. Throws
/// coordination_error: RequestTooLarge when it exceeds maxProposalBytes, ChangeInvalid when it can't be decoded.
void checkProposal(std::span<const std::byte> encoded);

/// Decodes what encodeProposal() wrote.
change_proposal decodeProposal(std::span<const std::byte> encoded);

/// Encodes the replicated state as CBOR, the form in which snapshots store it.
std::vector<std::byte> encodeChangeLog(const change_log &log);

/// Decodes what encodeChangeLog() wrote.
change_log decodeChangeLog(std::span<const std::byte> encoded);

/// Makes a proposal and sets its contentDigest to the XXH3 hash of the author and the request.
change_proposal makeProposal(const change_author &author, const change_request &request);

} // namespace guavafront
