#include <guavafront/coordination/registry/registry.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace guavafront
{

namespace
{

instance_id idOf(const registered_instance &entry)
{
    return entry.last.instance;
}

/// Sort key of the instances of a service.
std::uint64_t orderOf(const registered_instance &entry)
{
    return entry.last.instance.value;
}

/// The service with this name, which is added when it isn't known yet.
service_instances &serviceFor(registry &state, std::string_view name)
{
    const auto found = state.serviceIndexByName.find(name);
    if (found != state.serviceIndexByName.end()) {
        return state.services[found->second];
    }
    const auto index = static_cast<std::uint32_t>(state.services.size());
    state.serviceIndexByName.emplace(std::string(name), index);
    return state.services.emplace_back(service_instances{.service = std::string(name)});
}

registered_instance *findEntry(registry &state, instance_id instance)
{
    return const_cast<registered_instance *>(findInstance(state, instance));
}

void insert(registry &state, registered_instance entry)
{
    service_instances &group = serviceFor(state, entry.last.service);
    const auto position = std::ranges::lower_bound(group.instances, orderOf(entry), {}, orderOf);
    state.serviceIndexByInstance[idOf(entry)] = state.serviceIndexByName.find(entry.last.service)->second;
    group.instances.insert(position, std::move(entry));
    ++group.generation;
}

void remove(registry &state, instance_id instance)
{
    const auto known = state.serviceIndexByInstance.find(instance);
    if (known == state.serviceIndexByInstance.end()) {
        return;
    }
    service_instances &group = state.services[known->second];
    const auto position = std::ranges::lower_bound(group.instances, instance.value, {}, orderOf);
    group.instances.erase(position);
    ++group.generation;
    state.serviceIndexByInstance.erase(known);
}

/// servingSince after an announcement. It is kept while the instance goes on serving, so that a change of registrar
/// doesn't restart the cold-start ramp.
instant servingSince(const registered_instance *before, const announcement &received, instant now)
{
    const bool served = before && before->last.state == instance_state::Serving;
    return served && received.state == instance_state::Serving ? before->servingSince : now;
}

/// Replaces what was known about the instance by the received announcement. Returns whether anything changed beyond
/// what stays at the registrar, see mustBePublished().
bool store(registry &state, vm_id registrar, const announcement &received, std::optional<instant> expires, instant now)
{
    registered_instance *before = findEntry(state, received.instance);
    if (before && before->registrar == registrar && !mustBePublished(before->last, received)) {
        before->last = received;
        before->expires = expires;
        return false;
    }
    registered_instance entry{
        .last = received, .registrar = registrar, .servingSince = servingSince(before, received, now)};
    entry.expires = expires;
    remove(state, received.instance);
    insert(state, std::move(entry));
    return true;
}

/// Calls apply for each instance with this registrar.
template<class action>
void forEachRegisteredAt(registry &state, vm_id registrar, action apply)
{
    for (service_instances &group : state.services) {
        for (registered_instance &entry : group.instances) {
            if (entry.registrar == registrar) {
                apply(entry);
            }
        }
    }
}

} // namespace

bool mustBePublished(const announcement &before, const announcement &after)
{
    announcement comparable = after;
    comparable.sequence = before.sequence;
    comparable.load = before.load;
    comparable.warmupLeft = before.warmupLeft;
    return before != comparable;
}

bool replacesAtAddress(const announcement &a, const announcement &b)
{
    return a.instance != b.instance && a.ip == b.ip && a.port == b.port && a.processStartMs > b.processStartMs;
}

namespace
{

/// Removes the known instances whose address the announced instance has taken over. Returns true, and removes nothing,
/// when a known instance has taken over the announced one's address, so that the announcement is outdated.
bool resolveAddressConflict(registry &state, const announcement &received)
{
    std::vector<instance_id> replaced;
    for (const service_instances &group : state.services) {
        for (const registered_instance &entry : group.instances) {
            if (replacesAtAddress(entry.last, received)) {
                return true;
            }
            if (replacesAtAddress(received, entry.last)) {
                replaced.push_back(idOf(entry));
            }
        }
    }
    for (const instance_id instance : replaced) {
        remove(state, instance);
    }
    return false;
}

/// Whether the departure says more than what is known of the instance.
bool isNews(const announcement &known, const departure &told)
{
    if (told.state == instance_state::Leaving) {
        return known.state != instance_state::Leaving;
    }
    return known.state < told.state && known.sequence <= told.sequence;
}

} // namespace

registry_change announce(registry &state, const announcement &received, instant now)
{
    const announcement effective = applyDepartures(state.departures, received, now);
    const registered_instance *known = findInstance(state, effective.instance);
    if ((known && known->last.sequence >= effective.sequence) || resolveAddressConflict(state, effective)) {
        return registry_change::None;
    }
    return store(state, state.self, effective, now + effective.lease, now) ? registry_change::Changed
                                                                           : registry_change::Renewed;
}

std::optional<announcement> deregister(registry &state, std::string_view name, std::uint64_t processStartMs,
                                       instant now)
{
    const registered_instance *known = findNamed(state, name, processStartMs);
    if (!known && processStartMs != 0) {
        const departure left{.name = std::string(name), .processStartMs = processStartMs};
        recordDeparture(state.departures, left, true, now);
    }
    if (!known || known->last.state == instance_state::Leaving) {
        return std::nullopt;
    }
    announcement last = known->last;
    last.state = instance_state::Leaving;
    last.sequence = std::numeric_limits<std::uint64_t>::max();
    applyDepartures(state.departures, last, now);
    store(state, state.self, last, now + last.lease, now);
    return last;
}

departure_result depart(registry &state, const departure &told, instant now)
{
    auto *known = const_cast<registered_instance *>(findNamed(state, told.name, told.processStartMs));
    departure resolved = told;
    resolved.processStartMs = known ? known->last.processStartMs : told.processStartMs;
    if (resolved.processStartMs != 0) {
        recordDeparture(state.departures, resolved, false, now);
    }
    if (!known || !isNews(known->last, told)) {
        return {};
    }
    known->last.state = told.state;
    known->last.sequence =
        told.state == instance_state::Leaving ? std::numeric_limits<std::uint64_t>::max() : told.sequence;
    ++state.services[state.serviceIndexByInstance.at(known->last.instance)].generation;
    return {true, known->registrar == state.self ? std::optional(known->last) : std::nullopt};
}

registry_change learn(registry &state, vm_id registrar, const announcement &received, instant now)
{
    const announcement effective = applyDepartures(state.departures, received, now);
    const registered_instance *known = findInstance(state, effective.instance);
    if (registrar == state.self || (known && known->last.sequence >= effective.sequence)
        || resolveAddressConflict(state, effective)) {
        return registry_change::None;
    }
    if (takeUnpublished(state.departures, effective)) {
        store(state, state.self, effective, now + effective.lease, now);
        return registry_change::Changed;
    }
    known = findInstance(state, effective.instance);
    const bool handedOver = known && known->registrar == state.self;
    // Who sent outdated news may not know that the registrar has withdrawn the instance.
    const bool outdated = effective.state != received.state;
    store(state, registrar, effective, outdated ? std::optional(now + effective.lease) : std::nullopt, now);
    return handedOver ? registry_change::HandedOver : registry_change::Learned;
}

registry_change forget(registry &state, vm_id registrar, instance_id instance)
{
    const registered_instance *known = findInstance(state, instance);
    if (!known || known->registrar != registrar) {
        return registry_change::None;
    }
    remove(state, instance);
    return registry_change::Learned;
}

void onRegistrarLost(registry &state, vm_id registrar, instant now)
{
    forEachRegisteredAt(state, registrar, [now](registered_instance &entry) {
        if (!entry.expires) {
            entry.expires = now + entry.last.lease;
        }
    });
}

void onRegistrarReachable(registry &state, vm_id registrar)
{
    if (registrar == state.self) {
        return;
    }
    forEachRegisteredAt(state, registrar, [](registered_instance &entry) { entry.expires.reset(); });
}

std::vector<registered_instance> expire(registry &state, instant now)
{
    sweepDepartures(state.departures, now);
    std::vector<registered_instance> removed;
    for (service_instances &group : state.services) {
        const auto isExpired = [&](const registered_instance &entry) {
            if (!entry.expires || *entry.expires > now) {
                return false;
            }
            removed.push_back(entry);
            state.serviceIndexByInstance.erase(idOf(entry));
            return true;
        };
        if (std::erase_if(group.instances, isExpired) > 0) {
            ++group.generation;
        }
    }
    return removed;
}

std::optional<instant> nextExpiry(const registry &state)
{
    std::optional<instant> earliest;
    for (const service_instances &group : state.services) {
        for (const registered_instance &entry : group.instances) {
            if (entry.expires && (!earliest || *entry.expires < *earliest)) {
                earliest = entry.expires;
            }
        }
    }
    return earliest;
}

std::span<const registered_instance> instancesOf(const registry &state, std::string_view service)
{
    const auto found = state.serviceIndexByName.find(service);
    if (found == state.serviceIndexByName.end()) {
        return {};
    }
    return state.services[found->second].instances;
}

const registered_instance *findNamed(const registry &state, std::string_view name, std::uint64_t processStartMs)
{
    const registered_instance *newest = nullptr;
    for (const service_instances &group : state.services) {
        for (const registered_instance &entry : group.instances) {
            const bool matches =
                entry.last.name == name && (processStartMs == 0 || entry.last.processStartMs == processStartMs);
            if (matches && (!newest || newest->last.processStartMs < entry.last.processStartMs)) {
                newest = &entry;
            }
        }
    }
    return newest;
}

const registered_instance *findInstance(const registry &state, instance_id instance)
{
    const auto known = state.serviceIndexByInstance.find(instance);
    if (known == state.serviceIndexByInstance.end()) {
        return nullptr;
    }
    const std::vector<registered_instance> &group = state.services[known->second].instances;
    return &*std::ranges::lower_bound(group, instance.value, {}, orderOf);
}

} // namespace guavafront
