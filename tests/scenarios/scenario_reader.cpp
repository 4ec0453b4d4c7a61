#include "scenarios/scenario_reader.h"

#include "scenarios/object_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace guavafront
{

using nlohmann::json;

namespace
{

constexpr member_presence required = member_presence::Required;

} // namespace

void readMember(const std::string &path, const json &found, upstream_spec &value)
{
    object_reader(path, found)
        .member("name", value.name, required)
        .member("service", value.service, required)
        .member("entries", value.entries, required)
        .member("slots", value.slots)
        .refuseUnknown();
}

void readMember(const std::string &path, const json &found, route_spec &value)
{
    object_reader(path, found)
        .member("prefix", value.prefix, required)
        .member("service", value.service, required)
        .member("timeoutMs", value.timeoutMs)
        .member("repeats", value.repeats)
        .member("open", value.open)
        .refuseUnknown();
}

void readMember(const std::string &path, const json &found, default_spec &value)
{
    object_reader(path, found)
        .member("setting", value.setting, required)
        .member("value", value.value, required)
        .refuseUnknown();
}

void readMember(const std::string &path, const json &found, fleet_spec &value)
{
    object_reader(path, found)
        .member("controls", value.controls)
        .member("entries", value.entries)
        .member("dataCentres", value.dataCentres)
        .member("balancerGraceMs", value.balancerGraceMs)
        .member("relayPeers", value.relayPeers)
        .member("accounts", value.accounts)
        .member("defaults", value.defaults)
        .member("routes", value.routes)
        .member("upstreams", value.upstreams)
        .refuseUnknown();
}

void readMember(const std::string &path, const json &found, expectation &value)
{
    object_reader(path, found)
        .member("status", value.status)
        .member("notRun", value.notRun)
        .member("sameAs", value.sameAs)
        .refuseUnknown();
    if (!value.notRun.empty() && value.notRun != "true" && value.notRun != "false") {
        refuseMember(path + ".notRun", "must be \"true\" or \"false\"");
    }
}

void readMember(const std::string &path, const json &found, run_bounds &value)
{
    object_reader(path, found)
        .member("request", value.request, required)
        .member("least", value.least)
        .member("most", value.most)
        .refuseUnknown();
}

namespace
{

using step_reader = std::function<scenario_step(const std::string &path, const json &found)>;

scenario_step readRequest(const std::string &path, const json &found)
{
    request_step step;
    object_reader(path, found)
        .member("name", step.name, required)
        .member("entry", step.entry, required)
        .member("method", step.method)
        .member("target", step.target, required)
        .member("account", step.account)
        .member("claimed", step.claimed)
        .member("background", step.background)
        .member("expect", step.expect)
        .refuseUnknown();
    return step;
}

scenario_step readAwait(const std::string &path, const json &found)
{
    await_step step;
    object_reader(path, found).member("request", step.request, required).member("expect", step.expect).refuseUnknown();
    return step;
}

scenario_step readResend(const std::string &path, const json &found)
{
    resend_step step;
    object_reader(path, found)
        .member("request", step.request, required)
        .member("entry", step.entry, required)
        .member("untilDecided", step.untilDecided)
        .member("expect", step.expect)
        .refuseUnknown();
    return step;
}

scenario_step readAwaitClaimed(const std::string &path, const json &found)
{
    await_claimed_step step;
    readMember(path, found, step.request);
    return step;
}

step_reader processStep(process_action action)
{
    return [action](const std::string &path, const json &found) {
        process_step step{.action = action, .process = {}};
        readMember(path, found, step.process);
        return step;
    };
}

step_reader linkStep(link_mode mode)
{
    return [mode](const std::string &path, const json &found) {
        link_step step{.link = {}, .mode = mode};
        std::string direction = "both";
        object_reader reader(path, found);
        reader.member("link", step.link, required).member("direction", direction).member("peer", step.peer);
        if (mode == link_mode::Delay) {
            reader.member("milliseconds", step.milliseconds, required);
        }
        reader.refuseUnknown();
        if (direction != "towards" && direction != "away" && direction != "both") {
            refuseMember(path + ".direction", "must be \"towards\", \"away\" or \"both\"");
        }
        step.towards = direction != "away";
        step.away = direction != "towards";
        return step;
    };
}

scenario_step readSilence(const std::string &path, const json &found)
{
    silence_step step;
    readMember(path, found, step.link);
    return step;
}

scenario_step readAwaitHeld(const std::string &path, const json &found)
{
    await_held_step step;
    object_reader(path, found)
        .member("link", step.link, required)
        .member("towards", step.towards, required)
        .refuseUnknown();
    return step;
}

scenario_step readAwaitRuns(const std::string &path, const json &found)
{
    await_runs_step step;
    object_reader(path, found).member("request", step.request, required).member("runs", step.runs).refuseUnknown();
    return step;
}

scenario_step readAwaitStatus(const std::string &path, const json &found)
{
    await_status_step step;
    object_reader(path, found)
        .member("entry", step.entry, required)
        .member("target", step.target, required)
        .member("account", step.account)
        .member("status", step.status)
        .refuseUnknown();
    return step;
}

scenario_step readLoad(const std::string &path, const json &found)
{
    load_step step;
    object_reader(path, found)
        .member("account", step.account)
        .member("method", step.method)
        .member("target", step.target, required)
        .member("claimed", step.claimed)
        .member("connections", step.connections)
        .member("pauseMs", step.pauseMs)
        .refuseUnknown();
    return step;
}

scenario_step readAwaitLoad(const std::string &path, const json &found)
{
    await_load_step step;
    readMember(path, found, step.answers);
    return step;
}

scenario_step readAwaitLoadStatus(const std::string &path, const json &found)
{
    await_load_status_step step;
    readMember(path, found, step.status);
    return step;
}

scenario_step readStopLoad(const std::string &path, const json &found)
{
    stop_load_step step;
    object_reader(path, found).member("allowed", step.allowed).refuseUnknown();
    return step;
}

scenario_step readWithdraw(const std::string &path, const json &found)
{
    withdraw_step step;
    readMember(path, found, step.account);
    return step;
}

scenario_step readRace(const std::string &path, const json &found)
{
    race_step step;
    readMember(path, found, step.operators);
    return step;
}

/// Functions that read the steps, by the step's name in scenario files.
const std::map<std::string, step_reader, std::less<>> &stepReaders()
{
    static const std::map<std::string, step_reader, std::less<>> readers{
        {"request", readRequest},
        {"await", readAwait},
        {"resend", readResend},
        {"awaitClaimed", readAwaitClaimed},
        {"kill", processStep(process_action::Kill)},
        {"freeze", processStep(process_action::Freeze)},
        {"thaw", processStep(process_action::Thaw)},
        {"terminate", processStep(process_action::Terminate)},
        {"start", processStep(process_action::Start)},
        {"loseDisk", processStep(process_action::LoseDisk)},
        {"awaitEnd", processStep(process_action::AwaitEnd)},
        {"awaitReady", processStep(process_action::AwaitReady)},
        {"release", processStep(process_action::Release)},
        {"cut", linkStep(link_mode::Hold)},
        {"heal", linkStep(link_mode::Pass)},
        {"reset", linkStep(link_mode::Reset)},
        {"delay", linkStep(link_mode::Delay)},
        {"silence", readSilence},
        {"awaitHeld", readAwaitHeld},
        {"awaitRuns", readAwaitRuns},
        {"awaitStatus", readAwaitStatus},
        {"load", readLoad},
        {"awaitLoad", readAwaitLoad},
        {"awaitLoadStatus", readAwaitLoadStatus},
        {"stopLoad", readStopLoad},
        {"withdrawKey", readWithdraw},
        {"operatorRace", readRace},
    };
    return readers;
}

/// Alternatives chosen from the table of a scenario file, by column.
using table_choice = std::map<std::string, const json *, std::less<>>;

/// Steps that the reference "column.part" stands for: the named part of the alternative chosen for the column.
const json &tablePart(const std::string &path, const std::string &reference, const table_choice &choice)
{
    const std::size_t dot = reference.find('.');
    const auto column = choice.find(reference.substr(0, dot));
    if (dot == std::string::npos || column == choice.end() || !column->second->contains(reference.substr(dot + 1))) {
        refuseMember(path, reference + " must be \"column.part\" of the table");
    }
    return column->second->at(reference.substr(dot + 1));
}

void readSteps(const std::string &path, const json &found, const table_choice &choice,
               std::vector<scenario_step> &steps)
{
    if (!found.is_array()) {
        refuseMember(path, "must be a list");
    }
    for (std::size_t index = 0; index < found.size(); ++index) {
        const std::string stepPath = path + "[" + std::to_string(index) + "]";
        if (!found[index].is_object() || found[index].size() != 1) {
            refuseMember(stepPath, "must be an object with one name, the step's");
        }
        const auto &[name, value] = *found[index].items().begin();
        if (name == "insert") {
            std::string reference;
            readMember(stepPath + ".insert", value, reference);
            readSteps("table." + reference, tablePart(stepPath + ".insert", reference, choice), choice, steps);
            continue;
        }
        const auto reader = stepReaders().find(name);
        if (reader == stepReaders().end()) {
            throw coordination_error(result_code::SettingUnknown, stepPath + "." + name + ": no such step");
        }
        steps.push_back(reader->second(stepPath + "." + name, value));
    }
}

/// One alternative chosen for each column of the table.
struct combination {
    std::string name; ///< Names of the alternatives, each preceded by "/".
    table_choice choice; ///< Chosen alternatives, by column.
};

/// Throws coordination_error (SettingUnknown) when no step inserts one of the table's parts.
void refuseUnusedParts(const json &table, const json &steps)
{
    for (const auto &[column, alternatives] : table.items()) {
        for (const auto &[name, parts] : alternatives.items()) {
            for (const auto &[part, unused] : parts.items()) {
                const json insert{{"insert", column + "." + part}};
                if (std::ranges::find(steps, insert) == steps.end()) {
                    throw coordination_error(result_code::SettingUnknown,
                                             "table." + column + "." + name + "." + part + ": no step inserts it");
                }
            }
        }
    }
}

/// All combinations of the alternatives of each column.
std::vector<combination> combinationsOf(const json &table)
{
    std::vector<combination> all{{}};
    for (const auto &[column, alternatives] : table.items()) {
        if (!alternatives.is_object() || alternatives.empty()) {
            refuseMember("table." + column, "must be an object of alternatives");
        }
        std::vector<combination> extended;
        for (const combination &each : all) {
            for (const auto &[name, parts] : alternatives.items()) {
                combination next = each;
                next.name += "/" + name;
                next.choice[column] = &alternatives.at(name);
                extended.push_back(std::move(next));
            }
        }
        all = std::move(extended);
    }
    return all;
}

} // namespace

std::vector<scenario> readScenarios(const std::string &name, std::string_view text)
{
    const json document = json::parse(text, nullptr, false, true);
    if (document.is_discarded()) {
        refuseMember(name, "must be JSON with comments");
    }
    scenario shared;
    json table = json::object();
    json steps;
    object_reader(std::string(), document)
        .member("fleet", shared.fleet, required)
        .member("table", table)
        .member("steps", steps, required)
        .member("runs", shared.runs)
        .refuseUnknown();
    if (!table.is_object()) {
        refuseMember("table", "must be an object of columns");
    }
    std::vector<scenario> all;
    refuseUnusedParts(table, steps);
    for (const combination &each : combinationsOf(table)) {
        scenario &next = all.emplace_back(shared);
        next.name = name + each.name;
        readSteps("steps", steps, each.choice, next.steps);
    }
    return all;
}

} // namespace guavafront
