#include "wire/difference_json.h"

#include "wire/change_json.h"
#include "wire/configuration_codec.h"

#include <utility>

namespace guavafront
{

namespace
{

using nlohmann::json;

/// Largest length of a list or text. The size of the encoded changes is the real limit, since each element takes at
/// least one byte.
constexpr std::size_t maxItems = maxChangesBytes;

template<class item>
json listOf(const std::vector<item> &items)
{
    json list = json::array();
    for (const item &each : items) {
        list.push_back(toJson(each));
    }
    return list;
}

template<class identifier>
json numbersOf(const std::vector<identifier> &identifiers)
{
    json list = json::array();
    for (const identifier each : identifiers) {
        list.push_back(each.value);
    }
    return list;
}

/// Encodes an optional value as an array of one element, or an empty array when there is none.
template<class item>
json optionalOf(const std::optional<item> &value)
{
    return value ? json::array({toJson(*value)}) : json::array();
}

/// Encodes an optional list as an array of one list, or an empty array when there is none.
template<class item>
json optionalListOf(const std::optional<std::vector<item>> &items)
{
    json encoded = json::array();
    if (items) {
        encoded.push_back(listOf(*items));
    }
    return encoded;
}

template<class identifier>
std::vector<identifier> readNumbers(cbor_fields &fields)
{
    std::vector<identifier> identifiers;
    const json &list = fields.array(maxItems);
    cbor_fields numbers(list, "identifiers", list.size());
    while (identifiers.size() < list.size()) {
        identifiers.push_back({numbers.integer<std::uint32_t>()});
    }
    return identifiers;
}

std::vector<std::string> readTexts(cbor_fields &fields)
{
    std::vector<std::string> texts;
    const json &list = fields.array(maxItems);
    cbor_fields entries(list, "labels", list.size());
    while (texts.size() < list.size()) {
        texts.push_back(entries.text(maxItems));
    }
    return texts;
}

template<class reader>
auto readList(cbor_fields &fields, reader readItem)
{
    std::vector<decltype(readItem(json()))> items;
    for (const json &each : fields.array(maxItems)) {
        items.push_back(readItem(each));
    }
    return items;
}

/// Reads what optionalListOf() wrote.
template<class reader>
auto readOptionalList(cbor_fields &fields, reader readItem)
{
    const json &encoded = fields.array(1);
    std::optional<decltype(readList(fields, readItem))> items;
    if (!encoded.empty()) {
        cbor_fields only(encoded, "optional list", 1);
        items = readList(only, readItem);
    }
    return items;
}

/// Reads what optionalOf() wrote: the only element, or nothing when there is none.
template<class item>
std::optional<item> firstOf(std::vector<item> items)
{
    return items.empty() ? std::nullopt : std::optional<item>(std::move(items.front()));
}

} // namespace

json fieldsOf(const configuration_difference &difference)
{
    json fields = json::array(
        {optionalOf(difference.defaults), optionalOf(difference.limits), optionalListOf(difference.exceptions),
         numbersOf(difference.removedAccounts), listOf(difference.accounts), difference.removedKeys,
         listOf(difference.keys), numbersOf(difference.removedRoutes), listOf(difference.routes),
         difference.lastAccountId.value, difference.lastRouteId.value, difference.externalVersion});
    if (difference.evacuations || difference.warmups) { // VMs of earlier builds can read only what lacks these fields.
        fields.push_back(optionalListOf(difference.evacuations));
        fields.push_back(optionalListOf(difference.warmups));
    }
    return fields;
}

void read(cbor_fields &fields, configuration_difference &difference)
{
    difference.defaults = firstOf(readList(fields, defaultsFromJson));
    difference.limits = firstOf(readList(fields, limitsFromJson));
    difference.exceptions = firstOf(readList(fields, [](const json &list) {
        const json wrapped = json::array({list});
        cbor_fields inner(wrapped, "exceptions", 1);
        return readList(inner, exceptionFromJson);
    }));
    difference.removedAccounts = readNumbers<account_id>(fields);
    difference.accounts = readList(fields, accountFromJson);
    difference.removedKeys = readTexts(fields);
    difference.keys = readList(fields, keyFromJson);
    difference.removedRoutes = readNumbers<route_id>(fields);
    difference.routes = readList(fields, routeFromJson);
    difference.lastAccountId.value = fields.integer<std::uint32_t>();
    difference.lastRouteId.value = fields.integer<std::uint32_t>();
    difference.externalVersion = fields.integer<std::uint64_t>();
    if (fields.hasMore()) {
        difference.evacuations = readOptionalList(fields, evacuationFromJson);
        difference.warmups = readOptionalList(fields, warmupFromJson);
    }
}

} // namespace guavafront
