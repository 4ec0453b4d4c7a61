#include "soak/soak_configuration.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace guavafront
{

namespace
{

using json = nlohmann::json;

json ruleOf(const std::string &name, std::string_view kind, const std::string &prefix)
{
    return {{"Name", name},
            {"Kind", kind},
            {"TargetLatencyMs", 1'000},
            {"Priority", 0},
            {"Public", true},
            {"Match", {{"PathPrefix", prefix}}},
            {"Action", {{"Service", "rutas"}, {"TimeoutMs", 6'000}, {"MaxAttempts", 3}}}};
}

/// Puts the defect into a document that is valid otherwise.
void spoil(json &document, defect flaw)
{
    json &rules = document["Listeners"][0]["RuleSet"];
    json &rule = rules[rules.size() - 1];
    switch (flaw) {
    case defect::UnknownService:
        rule["Action"]["Service"] = "nobody";
        break;
    case defect::NegativeWeight:
        rule["Action"].erase("Service");
        rule["Action"]["TrafficSplit"] = {{{"Service", "rutas"}, {"Weight", 10}},
                                          {{"Service", "rutas"}, {"Weight", -1}}};
        break;
    case defect::ZeroTimeout:
        rule["Action"]["TimeoutMs"] = 0;
        break;
    case defect::ZeroAttempts:
        rule["Action"]["MaxAttempts"] = 0;
        break;
    case defect::PrefixWithoutSlash:
        rule["Match"]["PathPrefix"] = rule["Match"]["PathPrefix"].get<std::string>().substr(1);
        break;
    case defect::UnknownKind:
        rule["Kind"] = "sometimes";
        break;
    case defect::SharedKey:
        document["Tenants"] = {{{"Name", "t-1"}, {"ApiKeys", {"k"}}, {"Priority", 0}},
                               {{"Name", "t-2"}, {"ApiKeys", {"k"}}, {"Priority", 0}}};
        break;
    case defect::CutShort:
        break;
    }
}

} // namespace

std::string prefixOf(int route)
{
    return "/r" + std::to_string(route) + '/';
}

std::string baitPrefixOf(int route)
{
    return "/bait" + std::to_string(route) + '/';
}

std::string documentOf(const planned_change &change, std::uint64_t version, std::span<const std::string> hosts)
{
    json rules{ruleOf("r-safe", "idempotent", "/safe/"), ruleOf("r-once", "non_idempotent", "/once/")};
    for (const int route : change.routes) {
        rules.push_back(ruleOf("r-" + std::to_string(route), "idempotent", prefixOf(route)));
    }
    if (change.baitRoute >= 0) {
        rules.push_back(ruleOf("r-bait", "idempotent", baitPrefixOf(change.baitRoute)));
    }
    json listeners = json::array();
    for (const std::string &host : hosts) {
        listeners.push_back({{"Host", host}, {"RuleSet", rules}});
    }
    json document{{"Version", version},
                  {"Limits",
                   {{"MaxHeaderBytes", 16'384},
                    {"MaxBodyBytes", 1'048'576},
                    {"HeaderTimeoutMs", 3'000},
                    {"IdleTimeoutMs", 15'000}}},
                  {"Listeners", listeners},
                  {"Clusters",
                   {{{"Name", "rutas"},
                     {"HealthPath", "/healthz"},
                     {"MaxConnections", 390},
                     {"Protocol", "h1"},
                     {"Tls", false}}}}};
    if (change.kind != change_kind::Invalid) {
        return document.dump();
    }
    spoil(document, change.flaw);
    const std::string text = document.dump();
    return change.flaw == defect::CutShort ? text.substr(0, text.size() - text.size() / 4) : text;
}

} // namespace guavafront
