#include "wire/confirmation_json.h"

#include "wire/replacement_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace guavafront
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::string_view revisionParameter = "revision=";

json missingJson(const unconfirmed_vm &vm)
{
    return {{"name", vm.name}, {"vm", toHex(vm.id)}, {"data_centre", vm.dataCentre}, {"unheard", vm.declaredDead}};
}

} // namespace

result_code codeOf(const confirmation_answer &answer)
{
    return answer.status.inForce ? result_code::Ok : result_code::NotConfirmed;
}

std::string toJson(const confirmation_answer &answer)
{
    const result_code_row &row = describe(codeOf(answer));
    json document{{"code", static_cast<int>(row.code)},
                  {"name", row.name},
                  {"revision", answer.at.value},
                  {"state", answer.status.inForce ? "in_force" : "accepted"},
                  {"entry_vms", answer.status.requiredCount}};
    json &missing = document["not_confirmed"] = json::array();
    for (const unconfirmed_vm &vm : answer.status.missing) {
        missing.push_back(missingJson(vm));
    }
    if (!answer.status.seesMajority) {
        document["text"] = "the leader hears less than most of the fleet, so that there may be more VMs";
    }
    return document.dump();
}

revision parseConfirmationQuery(std::string_view query)
{
    revision wanted;
    if (query.starts_with(revisionParameter)) {
        query.remove_prefix(revisionParameter.size());
        const char *end = query.data() + query.size();
        const auto [stop, error] = std::from_chars(query.data(), end, wanted.value);
        if (error == std::errc() && stop == end) {
            return wanted;
        }
    }
    throw coordination_error(result_code::ChangeInvalid, "the query must be revision=N");
}

} // namespace guavafront
