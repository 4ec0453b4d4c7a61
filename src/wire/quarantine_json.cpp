#include "wire/quarantine_json.h"

#include "wire/replacement_json.h"
#include "wire/untrusted_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

/// JSON string of the text, or null when there is none.
nlohmann::ordered_json textOrNull(const std::string *text)
{
    return text ? nlohmann::ordered_json(*text) : nlohmann::ordered_json(nullptr);
}

nlohmann::ordered_json recordJson(const death_record &record, const configuration &current)
{
    const auto owner = std::ranges::find(current.accounts, record.account, &account::id);
    const auto path = std::ranges::find(current.routes, record.route, &route::id);
    const bool hasPath = path != current.routes.end();
    nlohmann::ordered_json deaths = nlohmann::ordered_json::array();
    for (const instance_id instance : record.deadInstances) {
        if (std::ranges::find(record.forgiven, instance) == record.forgiven.end()) {
            deaths.push_back(toHex(vm_id{instance.value}));
        }
    }
    return {{"request", toHex(record.request)},
            {"account", textOrNull(owner == current.accounts.end() ? nullptr : &owner->name)},
            {"host", textOrNull(hasPath ? &path->host : nullptr)},
            {"path_prefix", textOrNull(hasPath ? &path->pathPrefix : nullptr)},
            {"deaths", std::move(deaths)}};
}

} // namespace

std::string toHex(request_fingerprint request)
{
    return toHex(vm_id{request.value});
}

std::string toJson(std::span<const death_record> held, const configuration &current)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const death_record &record : held) {
        list.push_back(recordJson(record, current));
    }
    return nlohmann::ordered_json{{"held", std::move(list)}}.dump();
}

std::string releaseJson(request_fingerprint request)
{
    return nlohmann::json{{"request", toHex(request)}}.dump();
}

request_fingerprint parseReleaseJson(std::string_view text)
{
    const nlohmann::json document = parseUntrustedJson(text);
    if (!document.is_object() || document.size() != 1 || !document.contains("request")
        || !document["request"].is_string()) {
        throw coordination_error(result_code::ChangeInvalid, "the body must name one request");
    }
    return parseFingerprint(document["request"].get_ref<const std::string &>());
}

request_fingerprint parseFingerprint(std::string_view hex)
{
    try {
        return {parseVmId(hex).value};
    } catch (const coordination_error &) {
        throw coordination_error(result_code::ChangeInvalid, "a request is named by 16 hexadecimal digits");
    }
}

} // namespace guavafront
