#include <guavafront/coordination/registry/registry.h>

#include <algorithm>
#include <limits>

namespace guavafront
{

namespace
{

instance_id idOf(const registered_instance &entry)
{
    return entry.last.instance;
}

/// Key of the order in a service.
std::uint64_t orderOf(const registered_instance &entry)
{
    return entry.last.instance.value;
}

service_instances &serviceFor(registry &state, std::string_view name)
{
    const auto found = state.serviceIndex.find(name);
    if (found != state.serviceIndex.end()) {
        return state.services[found->second];
    }
    const auto index = static_cast<std::uint32_t>(state.services.size());
    state.serviceIndex.emplace(std::string(name), index);
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
    state.serviceOf[idOf(entry)] = state.serviceIndex.find(entry.last.service)->second;
    group.instances.insert(position, std::move(entry));
    ++group.generation;
}

void remove(registry &state, instance_id instance)
{
    const auto known = state.serviceOf.find(instance);
    if (known == state.serviceOf.end()) {
        return;
    }
    service_instances &group = state.services[known->second];
    const auto position = std::ranges::lower_bound(group.instances, instance.value, {}, orderOf);
    group.instances.erase(position);
    ++group.generation;
    state.serviceOf.erase(known);
}

/// Start of serving after the news: kept while it goes on serving, so that a change of hearer restarts no ramp.
instant servingSince(const registered_instance *before, const announcement &news, instant now)
{
    const bool served = before && before->last.state == instance_state::Serving;
    return served && news.state == instance_state::Serving ? before->servingSince : now;
}

/// Puts news in place of what was known; true when more than the lease and load changed.
bool store(registry &state, vm_id hearer, const announcement &news, std::optional<instant> expires, instant now)
{
    registered_instance *before = findEntry(state, news.instance);
    if (before && before->hearer == hearer && !differsForOthers(before->last, news)) {
        before->last = news;
        before->expires = expires;
        return false;
    }
    registered_instance entry{.last = news, .hearer = hearer, .servingSince = servingSince(before, news, now)};
    entry.expires = expires;
    remove(state, news.instance);
    insert(state, std::move(entry));
    return true;
}

template<class action>
void forEachHeardBy(registry &state, vm_id hearer, action apply)
{
    for (service_instances &group : state.services) {
        for (registered_instance &entry : group.instances) {
            if (entry.hearer == hearer) {
                apply(entry);
            }
        }
    }
}

} // namespace

bool differsForOthers(const announcement &before, const announcement &after)
{
    announcement comparable = after;
    comparable.sequence = before.sequence;
    comparable.load = before.load;
    comparable.warmupLeft = before.warmupLeft;
    return before != comparable;
}

bool replacesAtAddress(const announcement &a, const announcement &b)
{
    return a.instance != b.instance && a.ip == b.ip && a.port == b.port && a.born > b.born;
}

namespace
{

/// Removes the instances whose address has passed to the announced one; whether the announced one itself is gone,
/// because its address has passed on.
bool settleAddress(registry &state, const announcement &news)
{
    std::vector<instance_id> replaced;
    for (const service_instances &group : state.services) {
        for (const registered_instance &entry : group.instances) {
            if (replacesAtAddress(entry.last, news)) {
                return true;
            }
            if (replacesAtAddress(news, entry.last)) {
                replaced.push_back(idOf(entry));
            }
        }
    }
    for (const instance_id instance : replaced) {
        remove(state, instance);
    }
    return false;
}

} // namespace

registry_change announce(registry &state, const announcement &news, instant now)
{
    const registered_instance *known = findInstance(state, news.instance);
    if ((known && known->last.sequence >= news.sequence) || settleAddress(state, news)) {
        return registry_change::None;
    }
    return store(state, state.self, news, now + news.lease, now) ? registry_change::Changed : registry_change::Renewed;
}

std::optional<announcement> leave(registry &state, std::string_view name, std::uint64_t born, instant now)
{
    const registered_instance *known = nullptr;
    for (const service_instances &group : state.services) {
        for (const registered_instance &entry : group.instances) {
            const bool meant = entry.last.name == name && (born == 0 || entry.last.born == born);
            if (meant && (!known || known->last.born < entry.last.born)) {
                known = &entry;
            }
        }
    }
    if (!known || known->last.state == instance_state::Leaving) {
        return std::nullopt;
    }
    announcement last = known->last;
    last.state = instance_state::Leaving;
    last.sequence = std::numeric_limits<std::uint64_t>::max();
    store(state, state.self, last, now + last.lease, now);
    return last;
}

registry_change learn(registry &state, vm_id hearer, const announcement &news, instant now)
{
    const registered_instance *known = findInstance(state, news.instance);
    if (hearer == state.self || (known && known->last.sequence >= news.sequence) || settleAddress(state, news)) {
        return registry_change::None;
    }
    known = findInstance(state, news.instance);
    const bool handedOver = known && known->hearer == state.self;
    store(state, hearer, news, std::nullopt, now);
    return handedOver ? registry_change::HandedOver : registry_change::Learned;
}

registry_change forget(registry &state, vm_id hearer, instance_id instance)
{
    const registered_instance *known = findInstance(state, instance);
    if (!known || known->hearer != hearer) {
        return registry_change::None;
    }
    remove(state, instance);
    return registry_change::Learned;
}

void onHearerLost(registry &state, vm_id hearer, instant now)
{
    forEachHeardBy(state, hearer, [now](registered_instance &entry) {
        if (!entry.expires) {
            entry.expires = now + entry.last.lease;
        }
    });
}

void onHearerFound(registry &state, vm_id hearer)
{
    if (hearer == state.self) {
        return;
    }
    forEachHeardBy(state, hearer, [](registered_instance &entry) { entry.expires.reset(); });
}

std::vector<instance_id> expire(registry &state, instant now)
{
    std::vector<instance_id> withdrawn;
    for (service_instances &group : state.services) {
        const auto outlived = [&](const registered_instance &entry) {
            if (!entry.expires || *entry.expires > now) {
                return false;
            }
            if (entry.hearer == state.self) {
                withdrawn.push_back(idOf(entry));
            }
            state.serviceOf.erase(idOf(entry));
            return true;
        };
        if (std::erase_if(group.instances, outlived) > 0) {
            ++group.generation;
        }
    }
    return withdrawn;
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
    const auto found = state.serviceIndex.find(service);
    if (found == state.serviceIndex.end()) {
        return {};
    }
    return state.services[found->second].instances;
}

const registered_instance *findInstance(const registry &state, instance_id instance)
{
    const auto known = state.serviceOf.find(instance);
    if (known == state.serviceOf.end()) {
        return nullptr;
    }
    const std::vector<registered_instance> &group = state.services[known->second].instances;
    return &*std::ranges::lower_bound(group, instance.value, {}, orderOf);
}

} // namespace guavafront
