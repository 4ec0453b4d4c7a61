#include "scenarios/scenario_run.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace guavafront
{

namespace
{

/// Starts the process of an upstream instance and makes its relay connect to it.
void startUpstream(scenario_run &run, relayed_upstream &upstream)
{
    const std::filesystem::path runsFile = run.fleet.folder() / (upstream.spec.name + ".runs");
    run.fleet.startStandIn({.name = upstream.spec.name,
                            .service = upstream.spec.service,
                            .entries = upstream.spec.entries,
                            .extraOptions = {"--announced-port", std::to_string(upstream.link.port()), "--slots",
                                             std::to_string(upstream.spec.slots), "--runs-file", runsFile.string()}});
    upstream.link.post(set_relay_target{endpoint{"127.0.0.1", run.fleet.upstreamPort(upstream.spec.name)}});
    upstream.running = true;
}

/// Upstream instance with the name of a process; null when the process is a VM.
relayed_upstream *upstreamOf(scenario_run &run, const std::string &process)
{
    const auto found = run.upstreams.find(process);
    return found == run.upstreams.end() ? nullptr : &found->second;
}

/// Waits until a request with an idempotency key succeeds at every entry VM, which shows that claims can be made.
void awaitClaims(const scenario_run &run, const route_spec &route)
{
    for (const std::string &entry : run.fleet.entries()) {
        int attempt = 0;
        fleet_processes::waitUntil("a claim can be made at " + entry, [&] {
            const std::string name = "warm-" + entry + "-" + std::to_string(++attempt);
            return run.fleet.post(entry, route.prefix, run.keys.begin()->second, "{}", name).status == 200;
        });
    }
}

void start(scenario_run &run, const std::string &process)
{
    if (relayed_upstream *upstream = upstreamOf(run, process)) {
        startUpstream(run, *upstream);
    } else {
        run.fleet.start(process);
    }
}

void signalProcess(scenario_run &run, const std::string &process, int number)
{
    if (relayed_upstream *upstream = upstreamOf(run, process)) {
        upstream->frozen = number == SIGSTOP;
    }
    run.fleet.signal(process, number);
}

/// Makes a relay in front of each VM if fleet_spec::relayPeers is set. Returns the relays' ports by VM.
std::map<std::string, std::uint16_t> makeVmLinks(const fleet_spec &spec, std::map<std::string, relay> &links)
{
    std::map<std::string, std::uint16_t> ports;
    const auto add = [&](const std::string &role, std::uint64_t count) {
        for (std::uint64_t number = 1; spec.relayPeers && number <= count; ++number) {
            const std::string vm = role + std::to_string(number);
            ports[vm] = links[vm].port();
        }
    };
    add("control-", spec.controls);
    add("entry-", spec.entries);
    return ports;
}

/// Sets the mode for one direction of a VM's links, both those that other VMs opened to it and those that it opened.
void setVmLinkMode(scenario_run &run, const link_step &step, link_direction direction)
{
    const link_direction opposite =
        direction == link_direction::Towards ? link_direction::Away : link_direction::Towards;
    const duration delay = std::chrono::milliseconds(step.milliseconds);
    for (auto &[vm, link] : run.vmLinks) {
        const std::string ownIp = run.fleet.portsOf(step.link).peersIp;
        const std::string peerIp = step.peer.empty() ? std::string() : run.fleet.portsOf(step.peer).peersIp;
        if (vm == step.link) {
            link.post(set_relay_mode{.sourceIp = peerIp, .direction = direction, .mode = step.mode, .delay = delay});
        } else if (step.peer.empty() || vm == step.peer) {
            link.post(set_relay_mode{.sourceIp = ownIp, .direction = opposite, .mode = step.mode, .delay = delay});
        }
    }
}

/// Number of bytes of one direction that are held by the relays in front of the other VMs, which carry the links that a
/// VM opened. The direction is seen from that VM.
std::size_t heldOnOpenedLinks(scenario_run &run, const std::string &vm, link_direction direction)
{
    const link_direction opposite =
        direction == link_direction::Towards ? link_direction::Away : link_direction::Towards;
    std::size_t bytes = 0;
    for (auto &[other, link] : run.vmLinks) {
        bytes += run.vmLinks.contains(vm) && other != vm ? link.heldBytes(opposite) : 0;
    }
    return bytes;
}

void setUpstreamLinkMode(relay &link, const link_step &step, link_direction direction)
{
    const duration delay = std::chrono::milliseconds(step.milliseconds);
    link.post(set_relay_mode{.sourceIp = {}, .direction = direction, .mode = step.mode, .delay = delay});
}

void kill(scenario_run &run, const std::string &process)
{
    if (relayed_upstream *upstream = upstreamOf(run, process)) {
        upstream->running = false;
        // The relay refuses connections, as the address of a dead process does.
        upstream->link.post(set_relay_target{});
    }
    run.fleet.kill(process);
}

} // namespace

scenario_run::scenario_run(const scenario &scenarioPlan)
    : plan(scenarioPlan)
    , vmLinks()
    , fleet({.controls = scenarioPlan.fleet.controls,
             .entries = scenarioPlan.fleet.entries,
             .dataCentres = scenarioPlan.fleet.dataCentres,
             .balancerGraceMs = scenarioPlan.fleet.balancerGraceMs,
             .peerRelays = makeVmLinks(scenarioPlan.fleet, vmLinks)})
{
    for (auto &[vm, link] : vmLinks) {
        const vm_ports &ports = fleet.portsOf(vm);
        link.post(set_relay_target{endpoint{ports.peersIp, ports.peers}});
    }
}

std::string keyOf(const scenario_run &run, const std::string &account)
{
    return account.empty() ? std::string() : run.keys.at(account);
}

void startFleet(scenario_run &run)
{
    const fleet_spec &spec = run.plan.fleet;
    run.fleet.startAll();
    for (const std::string &account : spec.accounts) {
        run.keys[account] = run.fleet.createAccount(account);
    }
    for (const default_spec &each : spec.defaults) {
        run.fleet.runOperatorCommand({"default", each.setting, std::to_string(each.value)});
    }
    for (const route_spec &each : spec.routes) {
        std::vector<std::string> command{"route",      "put",          each.prefix,
                                         "--service",  each.service,   "--kind",
                                         each.service, "--timeout-ms", std::to_string(each.timeoutMs),
                                         "--repeats",  each.repeats};
        if (each.open) {
            command.emplace_back("--open");
        }
        run.fleet.runOperatorCommand(command);
    }
    for (const upstream_spec &each : spec.upstreams) {
        relayed_upstream &upstream = run.upstreams[each.name];
        upstream.spec = each;
        startUpstream(run, upstream);
    }
    for (const route_spec &each : spec.routes) {
        for (const std::string &entry : run.fleet.entries()) {
            run.fleet.waitForStatus(entry, each.prefix, run.keys.begin()->second, 200);
        }
        awaitClaims(run, each);
    }
}

void perform(scenario_run &run, const process_step &step)
{
    switch (step.action) {
    case process_action::Kill:
        kill(run, step.process);
        break;
    case process_action::Freeze:
        signalProcess(run, step.process, SIGSTOP);
        break;
    case process_action::Thaw:
        signalProcess(run, step.process, SIGCONT);
        break;
    case process_action::Terminate:
        signalProcess(run, step.process, SIGTERM);
        break;
    case process_action::Start:
        start(run, step.process);
        break;
    case process_action::LoseDisk:
        run.fleet.removeDataFolder(step.process);
        break;
    case process_action::AwaitEnd:
        fleet_processes::waitUntil(step.process + " ends",
                                   [&] { return run.fleet.waitForExit(step.process, duration::zero()); });
        break;
    case process_action::AwaitReady:
        fleet_processes::waitUntil(step.process + " is ready", [&] {
            const endpoint metrics{"127.0.0.1", run.fleet.portsOf(step.process).metrics};
            return httpCall(metrics, {.method = "GET", .target = "/ready"}).status == 200;
        });
        break;
    case process_action::Release:
        if (run.upstreams.at(step.process).running) {
            run.fleet.requestUpstream(step.process, "POST", "/release");
        }
        break;
    }
}

void perform(scenario_run &run, const link_step &step)
{
    relayed_upstream *upstream = upstreamOf(run, step.link);
    for (const link_direction direction : {link_direction::Towards, link_direction::Away}) {
        if (direction == link_direction::Towards ? !step.towards : !step.away) {
            continue;
        }
        if (upstream) {
            setUpstreamLinkMode(upstream->link, step, direction);
        } else {
            setVmLinkMode(run, step, direction);
        }
    }
}

void perform(scenario_run &run, const silence_step &step)
{
    run.upstreams.at(step.link).link.post(silence_connections{});
}

void perform(scenario_run &run, const await_held_step &step)
{
    const link_direction direction = step.towards ? link_direction::Towards : link_direction::Away;
    relay &link = upstreamOf(run, step.link) ? run.upstreams.at(step.link).link : run.vmLinks.at(step.link);
    fleet_processes::waitUntil(step.link + " holds bytes", [&] {
        return link.heldBytes(direction) > 0 || heldOnOpenedLinks(run, step.link, direction) > 0;
    });
}

void perform(scenario_run &run, const await_status_step &step)
{
    run.fleet.waitForStatus(step.entry, step.target, keyOf(run, step.account), static_cast<int>(step.status));
}

void perform(scenario_run &run, const withdraw_step &step)
{
    run.fleet.runOperatorCommand({"key", "withdraw", step.account + "-1"});
}

void perform(scenario_run &run, const race_step &step)
{
    const std::string base = std::to_string(run.fleet.acceptedRevision());
    std::vector<std::vector<std::string>> commands;
    for (std::uint64_t each = 0; each < step.operators; ++each) {
        commands.push_back({"account", "create", "racer-" + std::to_string(each), "--expected-revision", base});
    }
    const std::vector<int> statuses = run.fleet.runOperatorCommandsConcurrently(commands);
    BOOST_TEST(std::ranges::count(statuses, 0) == 1);
}

void runScenario(const scenario &plan)
{
    scenario_run run(plan);
    startFleet(run);
    for (const scenario_step &step : plan.steps) {
        std::visit([&run](const auto &each) { perform(run, each); }, step);
    }
    checkEnd(run);
}

} // namespace guavafront
