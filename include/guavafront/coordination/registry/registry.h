#pragma once

#include <guavafront/coordination/registry/announcement.h>
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
    announcement last; ///< Newest announcement.
    vm_id registrar; ///< VM that hears the instance; the registry's own for an own instance.
    instant servingSince{}; ///< When this VM first knew it as serving; start of the cold-start ramp.
    std::optional<instant> expires; ///< End of the lease; absent while a reachable registrar answers for it.
};

/// Instances of one service.
struct service_instances {
    std::string service; ///< Name.
    std::vector<registered_instance> instances; ///< Ordered by instance id.
    std::uint64_t generation = 0; ///< Goes up when anything but a load report changed.
};

/// All announced instances. The VM that hears an instance keeps its lease and answers for it to the other VMs.
struct registry {
    vm_id self; ///< This VM.
    std::vector<service_instances> services; ///< One for each name ever announced; indexes are stable.
    std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>>
        serviceIndexByName; ///< Index into services.
    std::unordered_map<instance_id, std::uint32_t> serviceIndexByInstance; ///< Index into services of a known instance.
};

/// What an announcement or a message about one changed.
enum class registry_change : std::uint8_t {
    None, ///< Old received.
    Renewed, ///< Lease or load only; stays at this VM.
    Changed, ///< An own instance must be published to the other VMs.
    Learned, ///< Another VM's instance changed here.
    HandedOver, ///< An own instance is now heard elsewhere: withdraw the publication.
};

/// Takes an announcement made to this VM.
registry_change announce(registry &state, const announcement &received, instant now);

/// Takes an instance's word that it is gone, by its name and, unless 0, its birth; none of its later announcements
/// counts. The announcement to publish; nothing when the instance isn't known or has left already.
std::optional<announcement> deregister(registry &state, std::string_view name, std::uint64_t processStartMs,
                                       instant now);

/// Takes what another VM hears. The highest sequence number wins; at the same one the present registrar stays.
registry_change learn(registry &state, vm_id registrar, const announcement &received, instant now);

/// Forgets an instance that registrar no longer answers for, unless another VM does by now.
registry_change forget(registry &state, vm_id registrar, instance_id instance);

/// The registrar was lost: its instances last for one more lease, in which they announce themselves elsewhere.
void onRegistrarLost(registry &state, vm_id registrar, instant now);

/// The registrar is reachable again and answers for its instances.
void onRegistrarReachable(registry &state, vm_id registrar);

/// Removes what outlived its lease; the own ones among them, whose publication must be withdrawn.
std::vector<instance_id> expire(registry &state, instant now);

/// Earliest end of a lease; nothing when no lease runs.
std::optional<instant> nextExpiry(const registry &state);

/// Instances of a service, ordered by id; valid until the next change.
std::span<const registered_instance> instancesOf(const registry &state, std::string_view service);

/// One instance; null when unknown. Valid until the next change.
const registered_instance *findInstance(const registry &state, instance_id instance);

} // namespace guavafront
