#include "wire/configuration_codec.h"

#include "wire/cbor_fields.h"
#include "wire/change_json.h"

#include <guavafront/coordination/configuration/validation.h>

#include <limits>
#include <type_traits>
#include <xxhash.h>

namespace guavafront
{

namespace
{

using nlohmann::json;

/// Limit for lists whose length is already limited by the size of the encoded message.
constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();

template<class item>
json listToJson(const std::vector<item> &items)
{
    json list = json::array();
    for (const item &each : items) {
        list.push_back(toJson(each));
    }
    return list;
}

template<class reader>
auto listFromJson(const json &list, reader read)
{
    std::vector<std::invoke_result_t<reader, const json &>> items;
    items.reserve(list.size());
    for (const json &each : list) {
        items.push_back(read(each));
    }
    return items;
}

json configurationToJson(const configuration &value)
{
    json fields = json::array({configurationFormatVersion, value.atRevision.value, toJson(value.defaults),
                               listToJson(value.accounts), listToJson(value.keys), listToJson(value.routes),
                               listToJson(value.exceptions), value.lastAccountId.value, value.lastRouteId.value});
    // VMs of earlier builds can read only a configuration without the last two fields.
    const bool hasLaterFields = !value.evacuations.empty() || !value.warmups.empty();
    if (value.externalVersion > 0 || hasLaterFields) {
        fields.push_back(toJson(value.limits));
        fields.push_back(value.externalVersion);
        fields.push_back(value.document);
    }
    if (hasLaterFields) {
        fields.push_back(listToJson(value.evacuations));
        fields.push_back(listToJson(value.warmups));
    }
    return fields;
}

configuration configurationFromJson(const json &encoded)
{
    constexpr std::size_t commonFieldCount = 9;
    constexpr std::size_t externalFieldCount = commonFieldCount + 3;
    const std::size_t size = encoded.is_array() ? encoded.size() : 0;
    const bool hasExternalFields = size > commonFieldCount;
    const bool hasLaterFields = size > externalFieldCount;
    const std::size_t fieldCount = hasExternalFields ? externalFieldCount : commonFieldCount;
    cbor_fields fields(encoded, "configuration", fieldCount + (hasLaterFields ? 2 : 0));
    fields.checkVersion(configurationFormatVersion);
    configuration value;
    value.atRevision.value = fields.integer<std::uint64_t>();
    value.defaults = defaultsFromJson(fields.array(unbounded));
    value.accounts = listFromJson(fields.array(unbounded), accountFromJson);
    value.keys = listFromJson(fields.array(unbounded), keyFromJson);
    value.routes = listFromJson(fields.array(unbounded), routeFromJson);
    value.exceptions = listFromJson(fields.array(unbounded), exceptionFromJson);
    value.lastAccountId.value = fields.integer<std::uint32_t>();
    value.lastRouteId.value = fields.integer<std::uint32_t>();
    if (hasExternalFields) {
        value.limits = limitsFromJson(fields.array(unbounded));
        value.externalVersion = fields.integer<std::uint64_t>();
        value.document = fields.text(maxConfigurationBytes);
    }
    if (hasLaterFields) {
        value.evacuations = listFromJson(fields.array(maxEvacuations), evacuationFromJson);
        value.warmups = listFromJson(fields.array(unbounded), warmupFromJson);
    }
    validate(value);
    return value;
}

json requestToJson(const change_request &request)
{
    return json::array({configurationFormatVersion, request.id.high, request.id.low, request.expectedRevision.value,
                        listToJson(request.changes)});
}

change_request requestFromJson(const json &encoded)
{
    cbor_fields fields(encoded, "change request", 5);
    fields.checkVersion(configurationFormatVersion);
    change_request request;
    request.id.high = fields.integer<std::uint64_t>();
    request.id.low = fields.integer<std::uint64_t>();
    request.expectedRevision.value = fields.integer<std::uint64_t>();
    request.changes = listFromJson(fields.array(maxChangesPerRequest), changeFromJson);
    return request;
}

json authorToJson(const change_author &author)
{
    return json::array({static_cast<std::uint8_t>(author.role), author.accountName});
}

change_author authorFromJson(const json &encoded)
{
    cbor_fields fields(encoded, "change author", 2);
    change_author author;
    author.role = fields.enumerator(operator_role::AccountManager);
    author.accountName = fields.text(maxNameBytes);
    return author;
}

json toJson(const remembered_answer &remembered)
{
    const change_answer &answer = remembered.answer;
    return json::array({remembered.id.high, remembered.id.low, remembered.contentDigest,
                        static_cast<std::uint16_t>(answer.code), answer.atRevision.value, answer.text});
}

remembered_answer answerFromJson(const json &encoded)
{
    cbor_fields fields(encoded, "remembered answer", 6);
    remembered_answer remembered;
    remembered.id.high = fields.integer<std::uint64_t>();
    remembered.id.low = fields.integer<std::uint64_t>();
    remembered.contentDigest = fields.integer<std::uint64_t>();
    remembered.answer.code = static_cast<result_code>(fields.integer<std::uint16_t>());
    remembered.answer.atRevision.value = fields.integer<std::uint64_t>();
    remembered.answer.text = fields.text(maxReasonBytes);
    return remembered;
}

json answersToJson(const std::deque<remembered_answer> &answers)
{
    json list = json::array();
    for (const remembered_answer &each : answers) {
        list.push_back(toJson(each));
    }
    return list;
}

} // namespace

std::vector<std::byte> encodeConfiguration(const configuration &value)
{
    return encodeCbor(configurationToJson(value));
}

configuration decodeConfiguration(std::span<const std::byte> encoded)
{
    return configurationFromJson(parseCbor(encoded, maxConfigurationBytes));
}

std::vector<std::byte> encodeChanges(std::span<const change> changes)
{
    json list = json::array();
    for (const change &edit : changes) {
        list.push_back(toJson(edit));
    }
    return encodeCbor(json::array({configurationFormatVersion, std::move(list)}));
}

std::vector<change> decodeChanges(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxChangesBytes);
    cbor_fields fields(value, "changes", 2);
    fields.checkVersion(configurationFormatVersion);
    return listFromJson(fields.array(maxChangesPerRequest), changeFromJson);
}

std::vector<std::byte> encodeChangeRequest(const change_request &request)
{
    return encodeCbor(requestToJson(request));
}

change_request decodeChangeRequest(std::span<const std::byte> encoded)
{
    return requestFromJson(parseCbor(encoded, maxChangesBytes));
}

std::vector<std::byte> encodeProposal(const change_proposal &proposal)
{
    return encodeCbor(json::array({configurationFormatVersion, authorToJson(proposal.author),
                                   requestToJson(proposal.request), proposal.contentDigest}));
}

change_proposal decodeProposal(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxChangesBytes);
    cbor_fields fields(value, "change proposal", 4);
    fields.checkVersion(configurationFormatVersion);
    change_proposal proposal;
    proposal.author = authorFromJson(fields.array(unbounded));
    proposal.request = requestFromJson(fields.array(unbounded));
    proposal.contentDigest = fields.integer<std::uint64_t>();
    return proposal;
}

std::vector<std::byte> encodeChangeLog(const change_log &log)
{
    return encodeCbor(
        json::array({configurationFormatVersion, configurationToJson(log.current), answersToJson(log.answers)}));
}

change_log decodeChangeLog(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxConfigurationBytes);
    cbor_fields fields(value, "change log", 3);
    fields.checkVersion(configurationFormatVersion);
    change_log log;
    log.current = configurationFromJson(fields.array(unbounded));
    const auto answers = listFromJson(fields.array(maxRememberedAnswers), answerFromJson);
    log.answers.assign(answers.begin(), answers.end());
    return log;
}

change_proposal makeProposal(const change_author &author, const change_request &request)
{
    const std::vector<std::byte> content = encodeCbor(json::array({authorToJson(author), requestToJson(request)}));
    return {author, request, XXH3_64bits(content.data(), content.size())};
}

} // namespace guavafront
