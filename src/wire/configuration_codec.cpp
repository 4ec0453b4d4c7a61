#include "wire/configuration_codec.h"

#include "wire/change_codec.h"
#include "wire/configuration_parts_codec.h"

#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <string>
#include <xxhash.h>

namespace guavafront
{

namespace
{

/// Number of fields of a configuration. VMs of earlier builds can read only one without the last two, and those of the
/// first builds only one without the last five.
constexpr std::size_t commonFields = 9;
constexpr std::size_t externalFields = commonFields + 3;
constexpr std::size_t allFields = externalFields + 2;

std::size_t fieldCountOf(const configuration &value)
{
    if (!value.evacuations.empty() || !value.warmups.empty()) {
        return allFields;
    }
    return value.externalVersion > 0 ? externalFields : commonFields;
}

void write(cbor_writer &out, const configuration &value)
{
    const std::size_t fields = fieldCountOf(value);
    out.beginArray(fields);
    out.integer(configurationFormatVersion);
    out.integer(value.atRevision.value);
    write(out, value.defaults);
    write(out, value.accounts);
    write(out, value.keys);
    write(out, value.routes);
    write(out, value.exceptions);
    out.integer(value.lastAccountId.value);
    out.integer(value.lastRouteId.value);
    if (fields >= externalFields) {
        write(out, value.limits);
        out.integer(value.externalVersion);
        out.text(value.document);
    }
    if (fields == allFields) {
        write(out, value.evacuations);
        write(out, value.warmups);
    }
}

void read(cbor_reader &in, configuration &value)
{
    const std::size_t fields = in.beginArray(allFields);
    if (fields != commonFields && fields != externalFields && fields != allFields) {
        throw coordination_error(result_code::MessageMalformed, "CBOR array has another number of fields");
    }
    in.checkVersion(configurationFormatVersion);
    value.atRevision.value = in.integer<std::uint64_t>();
    read(in, value.defaults);
    read(in, value.accounts);
    read(in, value.keys);
    read(in, value.routes);
    read(in, value.exceptions);
    value.lastAccountId.value = in.integer<std::uint32_t>();
    value.lastRouteId.value = in.integer<std::uint32_t>();
    if (fields >= externalFields) {
        read(in, value.limits);
        value.externalVersion = in.integer<std::uint64_t>();
        value.document = in.text(maxConfigurationBytes);
    }
    if (fields == allFields) {
        read(in, value.evacuations, maxEvacuations);
        read(in, value.warmups);
    }
}

void write(cbor_writer &out, const change_request &request)
{
    out.beginArray(5);
    out.integer(configurationFormatVersion);
    out.integer(request.id.high);
    out.integer(request.id.low);
    out.integer(request.expectedRevision.value);
    write(out, request.changes);
}

void read(cbor_reader &in, change_request &request)
{
    in.beginFields(5);
    in.checkVersion(configurationFormatVersion);
    request.id.high = in.integer<std::uint64_t>();
    request.id.low = in.integer<std::uint64_t>();
    request.expectedRevision.value = in.integer<std::uint64_t>();
    read(in, request.changes, maxChangesPerRequest);
}

void write(cbor_writer &out, const change_author &author)
{
    out.beginArray(2);
    out.integer(static_cast<std::uint8_t>(author.role));
    out.text(author.accountName);
}

void read(cbor_reader &in, change_author &author)
{
    in.beginFields(2);
    author.role = in.enumerator(operator_role::AccountManager);
    author.accountName = in.text(maxNameBytes);
}

void write(cbor_writer &out, const remembered_answer &remembered)
{
    const change_answer &answer = remembered.answer;
    out.beginArray(6);
    out.integer(remembered.id.high);
    out.integer(remembered.id.low);
    out.integer(remembered.contentDigest);
    out.integer(static_cast<std::uint16_t>(answer.code));
    out.integer(answer.atRevision.value);
    out.text(answer.text);
}

void read(cbor_reader &in, remembered_answer &remembered)
{
    in.beginFields(6);
    remembered.id.high = in.integer<std::uint64_t>();
    remembered.id.low = in.integer<std::uint64_t>();
    remembered.contentDigest = in.integer<std::uint64_t>();
    remembered.answer.code = static_cast<result_code>(in.integer<std::uint16_t>());
    remembered.answer.atRevision.value = in.integer<std::uint64_t>();
    remembered.answer.text = in.text(maxReasonBytes);
}

/// Digest that tells a resend of a request from another one with its ID.
std::uint64_t digestOf(std::span<const std::byte> content)
{
    return XXH3_64bits(content.data(), content.size());
}

/// Reads a whole encoded value of at most maxBytes.
template<class value>
value decode(std::span<const std::byte> encoded, std::size_t maxBytes)
{
    cbor_reader in(encoded, maxBytes);
    value decoded;
    read(in, decoded);
    in.finish();
    return decoded;
}

template<class value>
std::vector<std::byte> encode(const value &plain)
{
    cbor_writer out;
    write(out, plain);
    return out.take();
}

} // namespace

std::vector<std::byte> encodeConfiguration(const configuration &value)
{
    return encode(value);
}

configuration decodeConfiguration(std::span<const std::byte> encoded)
{
    configuration value = decodeUncheckedConfiguration(encoded);
    validate(value);
    return value;
}

configuration decodeUncheckedConfiguration(std::span<const std::byte> encoded)
{
    return decode<configuration>(encoded, maxConfigurationBytes);
}

std::vector<std::byte> encodeChanges(std::span<const change> changes)
{
    cbor_writer out;
    out.beginArray(2);
    out.integer(configurationFormatVersion);
    out.beginArray(changes.size());
    for (const change &edit : changes) {
        write(out, edit);
    }
    return out.take();
}

std::vector<change> decodeChanges(std::span<const std::byte> encoded)
{
    cbor_reader in(encoded, maxChangesBytes);
    in.beginFields(2);
    in.checkVersion(configurationFormatVersion);
    std::vector<change> changes;
    read(in, changes, maxChangesPerRequest);
    in.finish();
    return changes;
}

std::vector<std::byte> encodeChangeRequest(const change_request &request)
{
    return encode(request);
}

change_request decodeChangeRequest(std::span<const std::byte> encoded)
{
    return decode<change_request>(encoded, maxChangesBytes);
}

std::vector<std::byte> encodeProposal(const change_proposal &proposal)
{
    cbor_writer out;
    out.beginArray(4);
    out.integer(configurationFormatVersion);
    write(out, proposal.author);
    write(out, proposal.request);
    out.integer(proposal.contentDigest);
    return out.take();
}

std::vector<std::byte> encodeNewProposal(const change_author &author, const change_request &request)
{
    const std::vector<std::byte> encodedAuthor = encode(author);
    const std::vector<std::byte> encodedRequest = encode(request);
    cbor_writer content;
    content.beginArray(2);
    content.encoded(encodedAuthor);
    content.encoded(encodedRequest);
    cbor_writer out;
    out.beginArray(4);
    out.integer(configurationFormatVersion);
    out.encoded(encodedAuthor);
    out.encoded(encodedRequest);
    out.integer(digestOf(content.take()));
    std::vector<std::byte> proposal = out.take();
    checkProposal(proposal);
    return proposal;
}

void checkProposal(std::span<const std::byte> encoded)
{
    if (encoded.size() > maxProposalBytes) {
        throw coordination_error(result_code::RequestTooLarge,
                                 "the request is too large: " + std::to_string(encoded.size())
                                     + " bytes compressed, at most " + std::to_string(maxProposalBytes)
                                     + " are allowed");
    }
    try {
        decodeProposal(encoded);
    } catch (const coordination_error &fault) {
        throw coordination_error(result_code::ChangeInvalid, fault.what());
    }
}

change_proposal decodeProposal(std::span<const std::byte> encoded)
{
    cbor_reader in(encoded, maxProposalBytes);
    in.beginFields(4);
    in.checkVersion(configurationFormatVersion);
    change_proposal proposal;
    read(in, proposal.author);
    read(in, proposal.request);
    proposal.contentDigest = in.integer<std::uint64_t>();
    in.finish();
    return proposal;
}

std::vector<std::byte> encodeChangeLog(const change_log &log)
{
    cbor_writer out;
    out.beginArray(3);
    out.integer(configurationFormatVersion);
    write(out, log.current);
    out.beginArray(log.answers.size());
    for (const remembered_answer &each : log.answers) {
        write(out, each);
    }
    return out.take();
}

change_log decodeChangeLog(std::span<const std::byte> encoded)
{
    cbor_reader in(encoded, maxConfigurationBytes);
    in.beginFields(3);
    in.checkVersion(configurationFormatVersion);
    change_log log;
    read(in, log.current);
    validate(log.current);
    for (std::size_t left = in.beginArray(maxRememberedAnswers); left > 0; --left) {
        read(in, log.answers.emplace_back());
    }
    in.finish();
    return log;
}

change_proposal makeProposal(const change_author &author, const change_request &request)
{
    cbor_writer out;
    out.beginArray(2);
    write(out, author);
    write(out, request);
    return {author, request, digestOf(out.take())};
}

} // namespace guavafront
