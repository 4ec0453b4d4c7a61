#pragma once

#include <guavafront/coordination/registry/announcement.h>
#include <guavafront/coordination/registry/departure.h>
#include <guavafront/coordination/registry/departure_record.h>
#include <guavafront/coordination/routing/route_table.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// One instance as this VM knows it.
struct registered_instance {
    announcement last; ///< Newest announcement of the instance.
    vm_id registrar; ///< VM that receives the instance's announcements; registry::self for an instance of this VM.
    instant servingSince{}; ///< When this VM first knew it as serving; start of the cold-start ramp.
    std::optional<instant> expires; ///< End of the lease; absent while a reachable registrar keeps the lease elsewhere.
};

/// Instances of one service.
struct service_instances {
    std::string service; ///< Name of the service.
    std::vector<registered_instance> instances; ///< Instances, ordered by instance id.
    std::uint64_t generation = 0; ///< Incremented by each change other than a lease renewal or a load report.
};

/// All announced instances of the fleet. Each instance announces itself to one VM, its registrar. The registrar keeps
/// the instance's lease and publishes the instance to the other VMs.
struct registry {
    vm_id self; ///< This VM.
    std::vector<service_instances> services; ///< One entry for each service ever announced; indexes are stable.
    /// Index into services for each service name.
    std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>> serviceIndexByName;
    /// Index into services for each known instance.
    std::unordered_map<instance_id, std::uint32_t> serviceIndexByInstance;
    departure_record departures; ///< Departures of the last minutes, of known and unknown instances.
};

/// Effect of an announcement, or of another VM's message about one, on the registry.
enum class registry_change : std::uint8_t {
    None, ///< Nothing changed; the message was outdated.
    Renewed, ///< Only the lease, the load or the warm-up time changed; other VMs needn't know.
    Changed, ///< An instance of this VM changed and must be published to the other VMs.
    Learned, ///< An instance of another VM changed.
    HandedOver, ///< An instance of this VM has another registrar now; this VM must withdraw its publication.
};

/// Applies an announcement that an instance made to this VM. One that is older than the instance's departure counts as
/// the departure, and what the registry holds afterwards is to be published.
registry_change announce(registry &state, const announcement &received, instant now);

/// Marks an instance as leaving at its own request; none of its later announcements counts. The instance is found by
/// its name and, unless it is 0, the start of its process in Unix milliseconds. Returns the announcement to publish, or
/// nothing when the instance isn't known or is leaving already. That of an unknown instance is published once another
/// VM reports the instance.
std::optional<announcement> deregister(registry &state, std::string_view name, std::uint64_t processStartMs,
                                       instant now);

/// Effect of a departure on the registry.
struct departure_result {
    bool changed = false; ///< The instance took requests before.
    std::optional<announcement> toPublish; ///< Set if it changed and this VM is its registrar.
};

/// Applies a departure that another VM passed on. It binds older announcements, also those that come later.
departure_result depart(registry &state, const departure &told, instant now);

/// Applies an announcement that another VM published. The highest sequence number wins; at the same sequence number
/// the present registrar stays. One that is older than the instance's departure counts as the departure. Returns
/// Changed if this VM must publish the departure, which the instance told it before it knew the instance.
registry_change learn(registry &state, vm_id registrar, const announcement &received, instant now);

/// Removes an instance whose publication the registrar has withdrawn, unless it has another registrar by now.
registry_change forget(registry &state, vm_id registrar, instance_id instance);

/// The registrar can't be reached any more: each of its instances stays for one more lease, in which it can announce
/// itself to another VM.
void onRegistrarLost(registry &state, vm_id registrar, instant now);

/// The registrar is reachable again and keeps the leases of its instances.
void onRegistrarReachable(registry &state, vm_id registrar);

/// Removes the instances whose lease has ended and returns them. The caller must withdraw the publication of those that
/// were announced to this VM.
std::vector<registered_instance> expire(registry &state, instant now);

/// Earliest end of a lease; nothing when no lease is running.
std::optional<instant> nextExpiry(const registry &state);

/// Instances of a service, ordered by id. The span is valid until the registry's next change.
std::span<const registered_instance> instancesOf(const registry &state, std::string_view service);

/// The instance with this name and start of its process in Unix milliseconds, the one that started last if the start is
/// 0; null when it is unknown. The pointer is valid until the registry's next change.
const registered_instance *findNamed(const registry &state, std::string_view name, std::uint64_t processStartMs);

/// One instance; null when it is unknown. The pointer is valid until the registry's next change.
const registered_instance *findInstance(const registry &state, instance_id instance);

} // namespace guavafront
