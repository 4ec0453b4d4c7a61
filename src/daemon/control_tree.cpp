#include "daemon/control_tree.h"

#include "daemon/addresses/address_book_task.h"
#include "daemon/control/control_task.h"
#include "daemon/departures/departures_task.h"
#include "daemon/fleet/shared_state.h"
#include "daemon/hub/hub_task.h"
#include "daemon/operators/operators_task.h"
#include "runtime/supervisor.h"

#include <utility>

namespace guavafront
{

namespace
{

/// Time that a task has to stop.
constexpr duration taskShutdownLimit = std::chrono::seconds(5);

/// Returns a function that has the leader's proofs spread to all VMs as beacons.
std::function<void(const leadership_proof &)> beaconIssuer(daemon_wiring &wiring)
{
    return [&wiring](const leadership_proof &proof) {
        wiring.peers.post(issue_beacon{proof.leaderTerm, proof.round, proof.accepted, proof.asOf});
    };
}

/// Returns a function that publishes agreed views of the VMs that keep claims. A VM isn't notified of what it publishes
/// itself, so the view is also posted to the entry task of this VM.
std::function<void(const claims_view &)> claimsPublisher(const daemon_settings &settings, daemon_wiring &wiring)
{
    return [&wiring, isEntry = hasRole(settings, vm_role::Entry)](const claims_view &agreed) {
        wiring.peers.post(publicationOf(agreed));
        if (isEntry) {
            wiring.entries.post(claims_view_changed{agreed});
        }
    };
}

/// Returns a function that tells the departures task which control VMs vote.
std::function<void(const membership &)> votersReporter(daemon_wiring &wiring)
{
    return [&wiring](const membership &members) {
        departure_voters_changed changed;
        for (const member &each : members.members) {
            if (each.role == voting_role::Voter) {
                changed.voters.push_back(each.id);
            }
        }
        wiring.departures.post(std::move(changed));
    };
}

/// Returns a function that publishes an operator's release of a quarantined request. A VM isn't notified of what it
/// publishes itself, so the release is also posted to the entry task of this VM.
std::function<void(const publish_release &)> releasePublisher(const daemon_settings &settings, daemon_wiring &wiring)
{
    return [&wiring, isEntry = hasRole(settings, vm_role::Entry)](const publish_release &released) {
        wiring.peers.post(publicationOf(released));
        if (isEntry) {
            wiring.entries.post(release_reported{released.request, released.forgiven});
        }
    };
}

/// The replica of the control cluster and, where it is served, the operators' interface.
child_spec controlChild(const control_tree_options &options, const http_server_options &operatorsServer,
                        daemon_wiring &wiring)
{
    const daemon_settings &settings = options.settings;
    const daemon_secrets &secrets = options.secrets;
    const vm_id self = options.self;
    child_spec control{.name = "control",
                       .body =
                           [&settings, &secrets, self, &wiring](loop &owner) {
                               const control_task task(
                                   owner,
                                   {.dataFolder = settings.vm.dataFolder,
                                    .freshIdentity = self,
                                    .secret = secrets.fleet,
                                    .replica = {.targetVoters = settings.control.voters,
                                                .minVoters = 2 * settings.control.toleratedDiskLosses + 1},
                                    .send =
                                        [&wiring](vm_id to, envelope message) {
                                            wiring.urgentPeers.post(send_to_vm{to, std::move(message)});
                                        },
                                    .onLeadershipProof = beaconIssuer(wiring),
                                    .onClaimsViewAgreed = claimsPublisher(settings, wiring),
                                    .onMembersChanged = votersReporter(wiring)},
                                   wiring.control, wiring.configurations, wiring.counters);
                               owner.run();
                           },
                       .shutdownLimit = taskShutdownLimit};
    child_spec operators{.name = "operators",
                         .body =
                             [&settings, &secrets, operatorsServer, &wiring](loop &owner) {
                                 const operators_task task(
                                     owner,
                                     {.server = operatorsServer,
                                      .tokens = secrets.operators,
                                      .publishRelease = releasePublisher(settings, wiring)},
                                     wiring.operators,
                                     {.control = wiring.control, .configurations = wiring.configurations},
                                     wiring.counters);
                                 wiring.peers.post(resend_state{});
                                 owner.run();
                             },
                         .shutdownLimit = taskShutdownLimit};
    std::vector<child_spec> children{std::move(control)};
    if (!settings.listen.operators.ip.empty()) {
        children.push_back(std::move(operators));
    }
    return supervisorChild({.name = "control", .strategy = restart_strategy::RestForOne}, std::move(children));
}

child_spec hubChild(const daemon_settings &settings, vm_id self, daemon_wiring &wiring)
{
    return {.name = "hub",
            .body =
                [&settings, self, &wiring](loop &owner) {
                    const fleet_vm own{.id = self, .dataCentre = settings.vm.dataCentre, .isControl = true};
                    const hub_task task(owner, own, wiring.hub, wiring.peers);
                    owner.run();
                },
            .shutdownLimit = taskShutdownLimit};
}

child_spec departuresChild(const daemon_settings &settings, vm_id self, daemon_wiring &wiring)
{
    return {.name = "departures",
            .body =
                [&settings, self, &wiring](loop &owner) {
                    const departures_task task(owner, {.self = self, .dataCentre = settings.vm.dataCentre},
                                               wiring.departures, wiring.urgentPeers, wiring.entries, wiring.counters);
                    wiring.control.post(members_requested{});
                    owner.run();
                },
            .shutdownLimit = taskShutdownLimit};
}

child_spec addressBookChild(const daemon_settings &settings, daemon_wiring &wiring)
{
    return {.name = "address book",
            .body =
                [&settings, &wiring](loop &owner) {
                    const address_book_task task(owner, settings.vm.dataFolder, wiring.addresses);
                    owner.run();
                },
            .shutdownLimit = taskShutdownLimit};
}

} // namespace

std::function<void(vm_id, envelope)> vmSender(daemon_wiring &wiring)
{
    return [&wiring](vm_id to, envelope message) {
        wiring.peers.post(send_to_vm{to, std::move(message)});
    };
}

std::vector<child_spec> controlChildren(const control_tree_options &options, const http_server_options &operatorsServer,
                                        daemon_wiring &wiring)
{
    return {controlChild(options, operatorsServer, wiring), hubChild(options.settings, options.self, wiring),
            departuresChild(options.settings, options.self, wiring), addressBookChild(options.settings, wiring)};
}

} // namespace guavafront
