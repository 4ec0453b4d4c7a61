#include "soak/soak_player.h"

#include "fleet/child_process.h"
#include "fleet/fleet_processes.h"
#include "fleet/platform_processes.h"
#include "http/http_call.h"
#include "runtime/loop.h"
#include "soak/soak_bounds.h"
#include "soak/soak_callers.h"
#include "soak/soak_evacuations.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <list>
#include <thread>

namespace guavafront
{

namespace
{

constexpr int firstTries = 60;
constexpr int finalTries = 40;
constexpr duration finalWatch = seconds(25);
constexpr duration finalPause = milliseconds(300);
constexpr int instanceCount = 3;

/// What carries out the faults.
struct fault_player {
    platform_processes &fleet; ///< Processes.
    std::vector<std::string> controls; ///< Control VM at each place.
    const std::vector<std::string> &entries; ///< Entry VMs.
    std::vector<std::string> successors; ///< Control VMs that haven't been started yet, the next one last.
    std::vector<disturbance> disturbances; ///< What it has done.
};

bool replaces(fault_kind kind)
{
    return kind == fault_kind::ReplaceControl || kind == fault_kind::ReplaceWhileOthersDown;
}

bool wipes(fault_kind kind)
{
    return kind == fault_kind::WipeControl || kind == fault_kind::WipeWhileOthersDown
           || kind == fault_kind::WipeWhileEverythingDown;
}

void start(const fault_player &player, const std::string &vm)
{
    constexpr std::size_t seedCount = 3;
    const std::vector<std::string> seeds(player.controls.begin(), player.controls.begin() + seedCount);
    player.fleet.startVmWithSeeds(vm, seeds);
}

/// Place of the control VM that leads, which alone answers a read without a redirect; `other` if none does.
std::size_t leaderPlace(const fault_player &player, std::size_t other)
{
    for (std::size_t place = 0; place < player.controls.size(); ++place) {
        try {
            const http_answer answer =
                httpCall(player.fleet.controlEndpoint(player.controls[place]),
                         {.method = "POST", .target = "/api/rpc?call=config.get", .body = "{}", .timeout = seconds(1)});
            if (answer.status == statusOk) {
                return place;
            }
        } catch (const coordination_error &) {
            continue; // It doesn't answer, so it doesn't lead.
        }
    }
    return other;
}

/// VMs that a fault kills; the control VM at the place comes first where the fault is one of control VMs.
std::vector<std::string> victimsOf(const fault_player &player, fault_kind kind, std::size_t place)
{
    if (kind == fault_kind::KillEntry) {
        return {player.entries[place]};
    }
    std::vector<std::string> victims{player.controls[place]};
    if (kind == fault_kind::KillControl || kind == fault_kind::WipeControl || kind == fault_kind::ReplaceControl) {
        return victims;
    }
    std::ranges::copy_if(player.controls, std::back_inserter(victims),
                         [&](const std::string &each) { return each != victims.front(); });
    if (kind == fault_kind::KillEverything || kind == fault_kind::WipeWhileEverythingDown) {
        std::ranges::copy(player.entries, std::back_inserter(victims));
    }
    return victims;
}

void playKill(fault_player &player, const planned_fault &fault, std::size_t place)
{
    std::vector<std::string> victims = victimsOf(player, fault.kind, place);
    const instant from = loop::now();
    for (const std::string &vm : victims) {
        player.fleet.process(vm).signal(SIGKILL);
    }
    for (const std::string &vm : victims) {
        player.fleet.process(vm).kill();
    }
    std::this_thread::sleep_for(fault.downtime);
    const std::vector<std::string> gone = victims;
    if (wipes(fault.kind)) {
        std::filesystem::remove_all(player.fleet.dataFolderOf(victims.front()));
    }
    if (replaces(fault.kind)) {
        victims.front() = player.successors.back();
        player.controls[place] = player.successors.back();
        player.successors.pop_back();
    }
    for (std::size_t number = 0; number < victims.size(); ++number) {
        start(player, victims[number]);
        player.disturbances.push_back(
            {.vm = gone[number], .control = gone[number].starts_with("control"), .from = from, .to = loop::now()});
    }
}

void playSignals(fault_player &player, const planned_fault &fault, const std::string &vm, disturbance_kind kind)
{
    const instant from = loop::now();
    child_process &process = player.fleet.process(vm);
    if (kind == disturbance_kind::Frozen) {
        process.signal(SIGSTOP);
        std::this_thread::sleep_for(fault.downtime);
        process.signal(SIGCONT);
    } else if (kind == disturbance_kind::Reloaded) {
        process.signal(SIGHUP);
    } else {
        process.signal(SIGTERM);
        if (!process.waitForExit(grace)) {
            process.kill(); // As the platform does.
        }
        std::this_thread::sleep_for(fault.downtime);
        start(player, vm);
    }
    player.disturbances.push_back(
        {.vm = vm, .kind = kind, .control = vm.starts_with("control"), .from = from, .to = loop::now()});
}

void playFault(fault_player &player, const planned_fault &fault)
{
    auto place = static_cast<std::size_t>(fault.place);
    place = fault.leader ? leaderPlace(player, place) : place;
    switch (fault.kind) {
    case fault_kind::FreezeControl:
        playSignals(player, fault, player.controls[place], disturbance_kind::Frozen);
        break;
    case fault_kind::StopControl:
        playSignals(player, fault, player.controls[place], disturbance_kind::Stopped);
        break;
    case fault_kind::ReloadControl:
        playSignals(player, fault, player.controls[place], disturbance_kind::Reloaded);
        break;
    case fault_kind::StopEntry:
        playSignals(player, fault, player.entries[place], disturbance_kind::Stopped);
        break;
    case fault_kind::ReloadEntry:
        playSignals(player, fault, player.entries[place], disturbance_kind::Reloaded);
        break;
    default:
        playKill(player, fault, place);
    }
}

/// Adds the VMs whose processes run no more.
void addEnded(const fault_player &player, std::vector<std::string> &ended)
{
    for (const auto *list : {&player.controls, &player.entries}) {
        std::ranges::copy_if(*list, std::back_inserter(ended),
                             [&](const std::string &vm) { return !player.fleet.process(vm).running(); });
    }
}

/// Asks all control VMs until each has given the configuration, or for some seconds past the bound.
std::vector<final_read> readAll(const soak_scene &scene, const std::vector<std::string> &controls,
                                std::vector<seen_read> &reads)
{
    const instant back = loop::now();
    std::vector<final_read> list;
    list.reserve(controls.size());
    for (const std::string &vm : controls) {
        list.push_back({.vm = vm});
    }
    const auto came = [](const final_read &each) {
        return each.came;
    };
    while (!std::ranges::all_of(list, came) && loop::now() < back + finalWatch) {
        for (final_read &each : list) {
            if (each.came) {
                continue;
            }
            const operator_answer answer = readConfiguration(scene, each.vm, reads);
            each.last = std::to_string(answer.status) + ' ' + answer.body.substr(0, 100);
            if (answer.status == statusOk) {
                each.came = true;
                each.version = reads.back().version;
                each.asSent = reads.back().asSent;
                each.after = loop::now() - back;
            }
        }
        std::this_thread::sleep_for(finalPause);
    }
    return list;
}

/// Names of a role's VMs with their numbers.
std::vector<std::string> namesOf(const std::string &role, std::size_t first, std::size_t last)
{
    std::vector<std::string> names;
    for (std::size_t number = first; number <= last; ++number) {
        names.push_back(role + '-' + std::to_string(number));
    }
    return names;
}

/// Prepares routes and instances, before the callers start.
void prepare(platform_processes &fleet, const soak_scene &scene, std::vector<sent_change> &sent)
{
    fleet_processes::waitUntil("the first configuration is acknowledged", [&] {
        return sendChange(scene, 0, scene.plan.changes.front().version, false, firstTries, 0, sent);
    });
    for (const std::string &instance : scene.instances) {
        fleet.startInstance(instance, {"--slots", "64"}, {.slots = 64, .zone = zoneOf(scene, instance)});
    }
    for (const std::string &entry : scene.entries) {
        fleet.waitUntilServed(entry, "/safe/first");
    }
}

template<typename T>
void append(std::vector<T> &all, const std::list<std::vector<T>> &parts)
{
    for (const std::vector<T> &part : parts) {
        all.insert(all.end(), part.begin(), part.end());
    }
}

/// Adds a part of a record, owned by the thread that is started next.
template<typename T>
std::vector<T> &newPart(std::list<std::vector<T>> &parts)
{
    return parts.emplace_back();
}

} // namespace

soak_record playSoak(platform_processes &fleet, const soak_plan &plan, const soak_size &size)
{
    const auto replaced = static_cast<std::size_t>(
        std::ranges::count_if(plan.faults, [](const planned_fault &each) { return replaces(each.kind); }));
    soak_scene scene{.fleet = fleet,
                     .plan = plan,
                     .controls = namesOf("control", 1, size.controls + replaced),
                     .entries = namesOf("entry", 1, size.entries),
                     .instances = namesOf("instance", 1, instanceCount)};
    for (const std::string &control : scene.controls) {
        fleet.reserveVm(control);
    }
    for (const std::string &entry : scene.entries) {
        scene.hosts.push_back(fleet.clientEndpoint(entry).ip);
    }
    fault_player player{.fleet = fleet,
                        .controls = namesOf("control", 1, size.controls),
                        .entries = scene.entries,
                        .successors = namesOf("control", size.controls + 1, size.controls + replaced)};
    std::ranges::reverse(player.successors);
    soak_record record{.controls = size.controls, .changes = plan.changes};
    prepare(fleet, scene, record.sent);
    scene.startedAt = loop::now();
    record.startedAt = scene.startedAt;

    std::list<std::vector<sent_change>> sent;
    std::list<std::vector<seen_read>> reads;
    std::list<std::vector<seen_request>> requests;
    {
        std::list<std::jthread> callers;
        std::list<std::jthread> senders;
        for (int sender = 0; sender < size.senders; ++sender) {
            senders.emplace_back(playOperator, std::cref(scene), sender, std::ref(newPart(sent)));
            callers.emplace_back(playReader, std::cref(scene), static_cast<std::size_t>(sender),
                                 std::ref(newPart(reads)));
        }
        for (const std::string &entry : scene.entries) {
            for (const duration runTime : {duration(milliseconds(0)), duration(milliseconds(400))}) {
                callers.emplace_back(playClient, std::cref(scene), entry, runTime, std::ref(newPart(requests)));
            }
        }
        for (const std::string &instance : scene.instances) {
            callers.emplace_back(playInstance, std::cref(scene), instance);
        }
        senders.emplace_back(playEvacuations, std::cref(scene), std::ref(record.evacuations));
        std::this_thread::sleep_for(settleWindow); // The VMs were just started.
        for (const planned_fault &fault : plan.faults) {
            playFault(player, fault);
            std::this_thread::sleep_for(fault.pause);
        }
        senders.clear();
        addEnded(player, record.ended);
        record.finalAcknowledged = sendChange(scene, plan.finalChange, plan.changes[plan.finalChange].version, false,
                                              finalTries, 0, record.sent);
        playFault(player, plan.finalFault);
        record.finalReads = readAll(scene, player.controls, record.reads);
    }
    addEnded(player, record.ended);
    append(record.sent, sent);
    append(record.reads, reads);
    append(record.requests, requests);
    record.disturbances = player.disturbances;
    for (const std::string &instance : scene.instances) {
        for (auto &arrival : fleet.requestsAt(instance)) {
            record.arrivals.push_back({.at = arrival.first, .instance = instance, .id = arrival.second});
        }
    }
    return record;
}

void writeRecord(const soak_record &record, const std::filesystem::path &file)
{
    constexpr std::array kinds{"down", "stopped", "frozen", "reloaded"};
    std::ofstream text(file);
    for (const disturbance &each : record.disturbances) {
        text << timeText(record, each.from) << " to " << timeText(record, each.to) << ' ' << each.vm << ' '
             << kinds.at(static_cast<std::size_t>(each.kind)) << '\n';
    }
    for (const sent_change &each : record.sent) {
        text << timeText(record, each.sentAt) << " to " << timeText(record, each.endedAt) << " change " << each.change
             << " version " << each.version << (each.again ? " again, status " : ", status ") << each.status << " by "
             << each.vm << '\n';
    }
    for (const seen_read &each : record.reads) {
        text << timeText(record, each.sentAt) << " to " << timeText(record, each.endedAt) << " read version "
             << each.version << " by " << each.vm << '\n';
    }
    for (const seen_request &each : record.requests) {
        text << describe(record, each) << '\n';
    }
    for (const seen_evacuation &each : record.evacuations) {
        text << timeText(record, each.acknowledgedAt) << " to " << timeText(record, each.revokedAt) << " evacuation\n";
    }
    for (const seen_arrival &each : record.arrivals) {
        text << timeText(record, each.at) << " arrival at " << each.instance << ' ' << each.id << '\n';
    }
}

} // namespace guavafront
