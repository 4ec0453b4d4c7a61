#include <guavafront/coordination/admission/starvation_guard.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// Requests owed to a route or account at its first arrival: the mean of what a random fraction leaves.
constexpr double initiallyOwed = 0.5;

void decay(starvation_guard &guard, instant now)
{
    if (now > guard.decayedAt) {
        const double halves =
            std::chrono::duration<double>(now - guard.decayedAt) / std::chrono::duration<double>(guard.halfLife);
        const double factor = std::exp2(-halves);
        guard.arrived *= factor;
        guard.served *= factor;
        guard.decayedAt = now;
    }
}

/// Share of the service's recent requests that were admitted, 0 to 1.
double servedShare(const starvation_guard &guard)
{
    return guard.arrived > 0 ? std::min(1.0, guard.served / guard.arrived) : 1;
}

template<class id_type>
void credit(const starvation_guard &guard, std::unordered_map<id_type, owed_share> &shares, id_type id, instant now)
{
    owed_share &share = shares.try_emplace(id, owed_share{.owed = initiallyOwed}).first->second;
    share.owed = std::min(guard.maxOwed, share.owed + guard.guaranteedPart * servedShare(guard));
    share.lastArrival = now;
}

template<class id_type>
void charge(std::unordered_map<id_type, owed_share> &shares, id_type id)
{
    if (const auto found = shares.find(id); found != shares.end()) {
        // What it got beyond its guarantee isn't held against it later.
        found->second.owed = std::max(0.0, found->second.owed - 1);
    }
}

template<class id_type>
bool isOwed(const std::unordered_map<id_type, owed_share> &shares, id_type id)
{
    const auto found = shares.find(id);
    return found != shares.end() && found->second.owed >= 1;
}

} // namespace

void recordArrival(starvation_guard &guard, route_id route, account_id account, instant now)
{
    decay(guard, now);
    guard.arrived += 1;
    credit(guard, guard.routes, route, now);
    credit(guard, guard.accounts, account, now);
}

void recordAdmission(starvation_guard &guard, route_id route, account_id account, instant now)
{
    decay(guard, now);
    guard.served += 1;
    charge(guard.routes, route);
    charge(guard.accounts, account);
}

bool isOwed(const starvation_guard &guard, route_id route, account_id account)
{
    return isOwed(guard.routes, route) || isOwed(guard.accounts, account);
}

void removeIdle(starvation_guard &guard, instant now)
{
    const auto idle = [&guard, now](const auto &each) {
        return each.second.lastArrival + 4 * guard.halfLife < now;
    };
    std::erase_if(guard.routes, idle);
    std::erase_if(guard.accounts, idle);
}

} // namespace guavafront
