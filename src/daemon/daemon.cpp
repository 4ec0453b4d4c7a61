#include "daemon/daemon.h"

#include "daemon/announcements/announcements_task.h"
#include "daemon/configuration/configuration_task.h"
#include "daemon/control_tree.h"
#include "daemon/daemon_links.h"
#include "daemon/entry/entry_task.h"
#include "daemon/fleet/fleet_watch.h"
#include "daemon/fleet/shared_state.h"
#include "daemon/metrics/metrics_task.h"
#include "daemon/peers/peers_task.h"
#include "daemon/registry/registry_task.h"
#include "runtime/signal_watch.h"
#include "runtime/supervisor.h"
#include "settings/settings_reader.h"
#include "storage/replica_store.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>
#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <unistd.h>

namespace guavafront
{

namespace
{

/// Time that a task has to stop, beside the time to drain callers' requests.
constexpr duration taskShutdownLimit = std::chrono::seconds(5);
/// Used in place of a secret if the settings say that the fleet has none; it is public and authenticates nobody.
constexpr std::string_view privateNetworkText = "private network without a secret";

/// Returns whether the announcements task runs on this VM.
bool receivesAnnouncements(const daemon_settings &settings)
{
    return hasRole(settings, vm_role::Entry) && !settings.listen.announcements.ip.empty();
}

vm_id randomVmId()
{
    vm_id id;
    while (id.value == 0) {
        randombytes_buf(&id.value, sizeof id.value);
    }
    return id;
}

http_server_options serverOptions(const endpoint &address, const daemon_settings &settings)
{
    const entry_settings &limits = settings.entry;
    http_server_options options;
    options.address = address.ip;
    options.port = address.port;
    options.headerLimitBytes = limits.maxHeaderBytes;
    options.bodyLimitBytes = limits.maxBodyBytes;
    options.ownMemoryBytes = messageMemoryBytes(settings);
    return options;
}

/// Options of a server whose requests are small, so that it takes no memory from callers and operators.
http_server_options smallServerOptions(const endpoint &address, const daemon_settings &settings)
{
    constexpr std::size_t memoryBytes = std::size_t{1} << 20;
    http_server_options options = serverOptions(address, settings);
    options.ownMemoryBytes = memoryBytes;
    return options;
}

entry_task_options entryOptions(const daemon_settings &settings, vm_id self, const front_end &front)
{
    entry_task_options options;
    options.dialect = front.dialect;
    options.vmName = settings.vm.name;
    options.identity = {.self = self, .dataCentre = settings.vm.dataCentre};
    randombytes_buf(&options.identity.life, sizeof options.identity.life); // Differs for each start of the task.
    options.server = serverOptions(settings.listen.callers, settings);
    options.server.connectionLimit = settings.entry.maxConnections;
    options.server.idleTimeout = std::chrono::milliseconds(settings.entry.idleTimeoutMs);
    options.pool.connectTimeout = std::chrono::milliseconds(settings.entry.connectTimeoutMs);
    options.pool.unackedTimeout = std::chrono::milliseconds(settings.entry.unackedTimeoutMs);
    options.messageMemoryBytes = messageMemoryBytes(settings);
    options.pool.bodyLimitBytes = settings.entry.maxBodyBytes;
    options.pool.idlePerInstance = settings.entry.idleConnectionsPerInstance;
    options.balancerGrace = std::chrono::milliseconds(settings.entry.balancerGraceMs);
    options.drainLimit = std::chrono::milliseconds(settings.entry.drainLimitMs);
    options.policy.limits.fleetSize = settings.peers.fleetSize;
    options.policy.strictConfiguration = settings.entry.strictConfiguration;
    options.policy.limits.fleetSizeKnown = settings.peers.fleetSize > 0;
    options.policy.balancing = settings.entry.sparse ? balancing_policy::Affinity : balancing_policy::ExpectedLatency;
    options.policy.retries = {.percent = settings.entry.retryPercent,
                              .slack = settings.entry.retrySlack,
                              .window = std::chrono::milliseconds(settings.entry.retryWindowMs)};
    options.policy.warmup = {.overshoot = settings.entry.warmupOvershoot, .slack = settings.entry.warmupSlack};
    options.policy.urgencyOrder = settings.entry.urgencyOrder && settings.entry.sparse;
    options.seed = self.value;
    return options;
}

child_spec metricsChild(const daemon_settings &settings, daemon_wiring &wiring)
{
    const bool readyAtStart = !hasRole(settings, vm_role::Entry);
    return {.name = "metrics",
            .body =
                [&settings, &wiring, readyAtStart](loop &owner) {
                    const metrics_task task(owner,
                                            {.server = smallServerOptions(settings.listen.metrics, settings),
                                             .readyPath = settings.listen.readyPath,
                                             .ready = readyAtStart},
                                            wiring.metrics, wiring.counters);
                    owner.run();
                },
            .shutdownLimit = taskShutdownLimit};
}

child_spec peersChild(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self, daemon_wiring &wiring)
{
    return {.name = "peers",
            .body =
                [&settings, &secrets, self, &wiring](loop &owner) {
                    const peers_task task(owner, peersOptions(settings, secrets, self, wiring),
                                          {.requests = wiring.peers, .urgent = wiring.urgentPeers});
                    owner.run();
                },
            .eventLoop = {.urgentFirst = hasRole(settings, vm_role::Control)},
            .shutdownLimit = taskShutdownLimit};
}

child_spec configurationChild(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                              daemon_wiring &wiring)
{
    return {.name = "configuration",
            .body =
                [&settings, &secrets, self, &wiring](loop &owner) {
                    configuration_task_options options{.secret = secrets.fleet, .send = vmSender(wiring)};
                    options.vmName = settings.vm.name;
                    options.self = self;
                    options.isControl = hasRole(settings, vm_role::Control);
                    options.sendToControls = [&wiring](envelope message) {
                        wiring.peers.post(send_to_roles{ControlRole, std::move(message)});
                    };
                    options.sendToSeeds = [&wiring](envelope message) {
                        wiring.peers.post(send_to_seeds{std::move(message)});
                    };
                    options.subscriber = configurationSubscriber(settings, wiring);
                    const configuration_task task(owner, std::move(options), wiring.configurations);
                    wiring.control.post(accepted_configuration_requested{});
                    owner.run();
                },
            .shutdownLimit = taskShutdownLimit};
}

/// Task that receives announcements of instances on a VM without the entry role.
child_spec registryChild(vm_id self, daemon_wiring &wiring)
{
    return {.name = "registry",
            .body =
                [self, &wiring](loop &owner) {
                    const registry_task task(owner, self, wiring.entries, wiring.peers);
                    owner.run();
                },
            .shutdownLimit = taskShutdownLimit};
}

child_spec entryChild(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self, daemon_wiring &wiring,
                      const front_end &front)
{
    const duration drain = std::chrono::milliseconds(settings.entry.balancerGraceMs + settings.entry.drainLimitMs);
    child_spec entries{.name = "entry",
                       .body =
                           [&settings, self, &wiring, &front](loop &owner) {
                               const bool isControl = hasRole(settings, vm_role::Control);
                               const entry_task task(owner, entryOptions(settings, self, front), wiring.entries,
                                                     {.peers = wiring.peers,
                                                      .metrics = wiring.metrics,
                                                      .configurations = wiring.configurations,
                                                      .operators = isControl ? &wiring.operators : nullptr},
                                                     wiring.counters);
                               owner.run();
                           },
                       .shutdownLimit = drain + taskShutdownLimit};
    child_spec announcements{.name = "announcements",
                             .body =
                                 [&settings, &secrets, &wiring](loop &owner) {
                                     const announcements_task task(
                                         owner,
                                         {.server = smallServerOptions(settings.listen.announcements, settings),
                                          .serviceToken = secrets.serviceToken},
                                         wiring.announcements, wiring.entries, wiring.counters);
                                     owner.run();
                                 },
                             .shutdownLimit = taskShutdownLimit};
    // Announcements stop first when the VM stops, so that upstreams turn to other VMs while the entry task can still
    // process the last announcements of its own instances.
    std::vector<child_spec> children{std::move(entries)};
    if (receivesAnnouncements(settings)) {
        children.push_back(std::move(announcements));
    }
    return supervisorChild({.name = "entry"}, std::move(children));
}

} // namespace

daemon_secrets readSecrets(const daemon_settings &settings)
{
    daemon_secrets secrets;
    if (settings.peers.privateNetwork) {
        LOG(WARNING) << "peers.privateNetwork: links are not authenticated; any host on this network can pose as a VM "
                        "of the fleet";
        secrets.fleet = deriveFleetSecret(privateNetworkText);
    } else {
        secrets.fleet = deriveFleetSecret(readSecretFile(settings.secrets.fleetSecretFile));
    }
    if (receivesAnnouncements(settings)) {
        secrets.serviceToken = readSecretFile(settings.secrets.serviceTokenFile);
    }
    if (hasRole(settings, vm_role::Control) && !settings.listen.operators.ip.empty()) {
        secrets.operators = parseOperatorTokens(readSecretFile(settings.secrets.operatorTokensFile));
    }
    return secrets;
}

configuration_subscriber configurationSubscriber(const daemon_settings &settings, daemon_wiring &wiring)
{
    // Where no task reads the inbox, up to smallCapacity whole configurations would stay in memory.
    return [&wiring,
            announcementsRun = receivesAnnouncements(settings)](const std::shared_ptr<const configuration> &current) {
        wiring.entries.post(configuration_changed{current});
        if (announcementsRun) {
            wiring.announcements.post(current);
        }
    };
}

std::vector<child_spec> makeSupervisionTree(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                            daemon_wiring &wiring, const front_end &front)
{
    std::vector<child_spec> children{metricsChild(settings, wiring), peersChild(settings, secrets, self, wiring),
                                     configurationChild(settings, secrets, self, wiring)};
    if (hasRole(settings, vm_role::Control)) {
        std::vector<child_spec> control = controlChildren({.settings = settings, .secrets = secrets, .self = self},
                                                          serverOptions(settings.listen.operators, settings), wiring);
        std::ranges::move(control, std::back_inserter(children));
    }
    if (hasRole(settings, vm_role::Entry)) {
        children.push_back(entryChild(settings, secrets, self, wiring, front));
    } else {
        children.push_back(registryChild(self, wiring));
    }
    std::ranges::move(front.tasks(wiring), std::back_inserter(children));
    return children;
}

void bootstrapControl(const daemon_settings &settings)
{
    if (!hasRole(settings, vm_role::Control)) {
        throw coordination_error(result_code::SettingInvalid, "vm.roles: only a control VM can begin a cluster");
    }
    if (sodium_init() < 0) {
        throw std::runtime_error("libsodium can't be initialized");
    }
    const vm_id self = randomVmId();
    replica_store::bootstrap(settings.vm.dataFolder, self, {randomVmId().value}, std::array{self});
}

vm_id founderIdentity(const endpoint &address)
{
    const std::string text = "founder " + toText(address);
    const std::uint64_t value = XXH3_64bits(text.data(), text.size());
    return {value != 0 ? value : 1};
}

void bootstrapAsFounder(const daemon_settings &settings)
{
    const std::vector<endpoint> &founders = settings.control.founders;
    const bool isFounder = std::ranges::find(founders, settings.listen.peers) != founders.end();
    if (!settings.control.firstStart || !isFounder || replica_store::hasJournal(settings.vm.dataFolder)) {
        return;
    }
    std::vector<vm_id> identities;
    std::uint64_t cluster = 0;
    for (const endpoint &each : founders) {
        identities.push_back(founderIdentity(each));
        cluster ^= identities.back().value;
    }
    LOG(INFO) << "creating the cluster as one of " << founders.size() << " founders";
    replica_store::bootstrap(settings.vm.dataFolder, founderIdentity(settings.listen.peers),
                             {cluster != 0 ? cluster : 1}, identities);
}

void runDaemon(const daemon_settings &settings, const front_end &front)
{
    if (sodium_init() < 0) {
        throw std::runtime_error("libsodium can't be initialized");
    }
    const daemon_secrets secrets = readSecrets(settings);
    // A control VM keeps its identity as long as its data folder exists; other VMs draw one at each start.
    const bool isControl = hasRole(settings, vm_role::Control);
    if (isControl) {
        bootstrapAsFounder(settings);
    }
    const vm_id self = isControl ? replica_store(settings.vm.dataFolder, randomVmId()).self() : randomVmId();
    daemon_wiring wiring;
    loop root;
    int signals = 0;
    const signal_watch watch(root, {SIGTERM, SIGINT}, [&signals, &root] {
        if (++signals > 1) {
            _exit(EXIT_FAILURE);
        }
        root.requestStop();
    });
    const signal_watch ignoreReload(root, {SIGHUP}, [] { LOG(INFO) << "SIGHUP ignored: there is nothing to reload"; });
    LOG(INFO) << settings.vm.name << ": VM " << std::hex << self.value << " at " << advertisedAddress(settings)
              << " in " << settings.vm.dataCentre << " is starting";
    supervisor(supervisor_options{.name = "root"}, makeSupervisionTree(settings, secrets, self, wiring, front))
        .run(root);
    LOG(INFO) << settings.vm.name << " has stopped";
}

} // namespace guavafront
