#include "wire/operator_change_json.h"

#include <guavafront/coordination/configuration/setting.h>

#include <sodium.h>

#include <string>

namespace guavafront
{

namespace
{

using json = nlohmann::ordered_json;

std::string hexOf(const key_hash &hash)
{
    std::string hex(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char *>(hash.data()), hash.size());
    hex.pop_back();
    return hex;
}

json fieldsOf(const set_defaults &edit)
{
    return {{"change", "set_defaults"}, {"values", defaultsJson(edit.values)}};
}

json fieldsOf(const configuration_difference &edit)
{
    return {{"change", "difference"}, {"version", edit.externalVersion}};
}

json fieldsOf(const replace_all &edit)
{
    return {{"change", "replace_all"}, {"version", edit.value.externalVersion}};
}

json fieldsOf(const evacuation_order &edit)
{
    return {{"change", edit.action == evacuation_action::Start ? "evacuate" : "end_evacuation"},
            {"data_centre", edit.dataCentre}};
}

json fieldsOf(const create_account &edit)
{
    return {{"change", "create_account"}, {"account", edit.name}};
}

json fieldsOf(const set_kind_order &edit)
{
    return {{"change", "set_kind_order"}, {"account", edit.accountName}, {"kinds", edit.kinds}};
}

json fieldsOf(const grant_key &edit)
{
    return {{"change", "grant_key"},
            {"label", edit.label},
            {"account", edit.accountName},
            {"key_sha256", hexOf(edit.hash)}};
}

json fieldsOf(const withdraw_key &edit)
{
    return {{"change", "withdraw_key"}, {"label", edit.label}};
}

json fieldsOf(const put_route &edit)
{
    json object = routeJson(edit.value);
    object["change"] = "put_route";
    return object;
}

json fieldsOf(const remove_route &edit)
{
    return {{"change", "remove_route"}, {"host", edit.host}, {"path_prefix", edit.pathPrefix}};
}

json fieldsOf(const put_exception &edit)
{
    json object = exceptionJson(edit.value);
    object["change"] = "put_exception";
    return object;
}

json fieldsOf(const remove_exception &edit)
{
    return {{"change", "remove_exception"}, {"subject", edit.subject}, {"setting", edit.setting}};
}

} // namespace

nlohmann::ordered_json changeJson(const change &edit)
{
    return std::visit([](const auto &each) { return fieldsOf(each); }, edit);
}

nlohmann::ordered_json routeJson(const route &value)
{
    return {{"host", value.host},
            {"path_prefix", value.pathPrefix},
            {"service", value.service},
            {"kind", value.kind},
            {"open_to_all", value.openToAll},
            {"ordered", value.ordered},
            {"repeats", repeatabilityNames.at(static_cast<std::size_t>(value.repeats))},
            {"timeout_ms", value.timeoutMs}};
}

nlohmann::ordered_json defaultsJson(const fleet_defaults &values)
{
    auto object = nlohmann::ordered_json::object();
    for (const setting_descriptor &setting : settingTable()) {
        object[std::string(setting.name)] = setting.read(values);
    }
    return object;
}

nlohmann::ordered_json exceptionJson(const setting_exception &value)
{
    return {{"subject", value.subject}, {"setting", value.setting}, {"value", value.value}, {"reason", value.reason}};
}

nlohmann::ordered_json evacuationsJson(const std::vector<evacuation> &list)
{
    auto array = nlohmann::ordered_json::array();
    for (const evacuation &each : list) {
        nlohmann::ordered_json entry{{"data_centre", each.dataCentre}, {"evacuated", each.inForce}};
        entry["since_unix_ms"] = each.inForce ? each.startedMs : each.endedMs;
        array.push_back(std::move(entry));
    }
    return array;
}

} // namespace guavafront
