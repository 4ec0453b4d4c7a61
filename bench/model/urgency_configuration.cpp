#include "model/urgency_configuration.h"

namespace guavafront::bench
{

std::shared_ptr<const configuration> makeConfiguration(std::span<const request_kind> kinds)
{
    auto draft = std::make_shared<configuration>();
    draft->atRevision.value = 1;
    draft->defaults.accountRatePerSecond = 1e9;
    draft->defaults.accountBurst = 1e9;
    std::uint32_t id = 0;
    for (const request_kind &each : kinds) {
        ++id;
        draft->accounts.push_back({.id = {id}, .name = each.name, .priority = each.accountPriority});
        draft->keys.push_back({.label = each.name, .hash = keyOfKind(id - 1), .owner = {id}});
        draft->routes.push_back(
            {.id = {id},
             .pathPrefix = "/" + each.name,
             .service = "service",
             .kind = each.name,
             .repeats = repeatability::NotRepeatable,
             .timeoutMs = static_cast<std::uint32_t>(each.timeout / std::chrono::milliseconds(1)),
             .targetLatencyMs = static_cast<std::uint32_t>(each.target / std::chrono::milliseconds(1)),
             .priority = each.routePriority});
    }
    return draft;
}

key_hash keyOfKind(std::size_t kind)
{
    key_hash hash{};
    hash.fill(static_cast<std::byte>(kind + 1));
    return hash;
}

double servedShare(const kind_result &result)
{
    return result.requests > 0 ? static_cast<double>(result.served) / static_cast<double>(result.requests) : 1;
}

double inTargetShare(const kind_result &result)
{
    return result.requests > 0 ? static_cast<double>(result.inTarget) / static_cast<double>(result.requests) : 1;
}

} // namespace guavafront::bench
