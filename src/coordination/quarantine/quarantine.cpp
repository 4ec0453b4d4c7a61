#include <guavafront/coordination/quarantine/quarantine.h>

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr duration deathConfirmationLimit = std::chrono::seconds(15); ///< Time after a lost connection within which
                                                                      ///< the death must be known, so that it counts.
constexpr duration retention = std::chrono::hours(1); ///< Time after the last death until a record is removed.
constexpr std::size_t maxRecords = 4'096; ///< When reached, the record with the oldest death is removed.
constexpr std::size_t maxUnconfirmedLosses = 4'096; ///< When reached, the oldest loss is removed.

std::uint64_t orderOf(const death_record &record)
{
    return record.request.value;
}

/// Inserts an id into an ordered list unless it is there.
void insertOrdered(std::vector<instance_id> &ordered, instance_id instance)
{
    const auto position = std::ranges::lower_bound(ordered, instance.value, {}, &instance_id::value);
    if (position == ordered.end() || *position != instance) {
        ordered.insert(position, instance);
    }
}

const death_record *find(const quarantine &state, request_fingerprint request)
{
    const auto found = std::ranges::lower_bound(state.records, request.value, {}, orderOf);
    return found != state.records.end() && found->request == request ? &*found : nullptr;
}

death_record &recordFor(quarantine &state, request_fingerprint request, instant now)
{
    if (const death_record *known = find(state, request)) {
        return const_cast<death_record &>(*known);
    }
    if (state.records.size() >= maxRecords) {
        state.records.erase(std::ranges::min_element(state.records, {}, &death_record::lastDeath));
    }
    const auto position = std::ranges::lower_bound(state.records, request.value, {}, orderOf);
    return *state.records.insert(position, death_record{.request = request, .lastDeath = now});
}

/// Number of instances that died while they ran the request, without the forgiven ones.
std::size_t countDeaths(const quarantine &state, request_fingerprint request)
{
    const death_record *record = find(state, request);
    if (!record) {
        return 0;
    }
    const auto isCounted = [record](instance_id instance) {
        return !std::ranges::binary_search(record->forgiven, instance.value, {}, &instance_id::value);
    };
    return static_cast<std::size_t>(std::ranges::count_if(record->deadInstances, isCounted));
}

} // namespace

void onConnectionLost(quarantine &state, const lost_request &lost)
{
    if (state.unconfirmedLosses.size() >= maxUnconfirmedLosses) {
        state.unconfirmedLosses.erase(state.unconfirmedLosses.begin());
    }
    state.unconfirmedLosses.push_back(lost);
}

void onInstanceAlive(quarantine &state, instance_id instance, instant sentAt)
{
    std::erase_if(state.unconfirmedLosses,
                  [&](const lost_request &lost) { return lost.attempt.instance == instance && lost.lostAt < sentAt; });
}

std::vector<lost_request> onInstanceDied(quarantine &state, instance_id instance, instant now)
{
    std::vector<lost_request> deaths;
    for (const lost_request &lost : state.unconfirmedLosses) {
        if (lost.attempt.instance == instance && lost.lostAt + deathConfirmationLimit >= now) {
            deaths.push_back(lost);
        }
    }
    std::erase_if(state.unconfirmedLosses,
                  [instance](const lost_request &lost) { return lost.attempt.instance == instance; });
    for (const lost_request &death : deaths) {
        recordDeath(state, death, now);
    }
    return deaths;
}

void recordDeath(quarantine &state, const lost_request &death, instant now)
{
    death_record &record = recordFor(state, death.attempt.request, now);
    record.account = death.account;
    record.route = death.route;
    record.lastDeath = now;
    insertOrdered(record.deadInstances, death.attempt.instance);
}

std::optional<death_record> release(quarantine &state, request_fingerprint request, instant now)
{
    if (countDeaths(state, request) == 0) {
        return std::nullopt;
    }
    death_record &record = recordFor(state, request, now);
    record.forgiven = record.deadInstances;
    return record;
}

void recordRelease(quarantine &state, request_fingerprint request, std::span<const instance_id> forgiven, instant now)
{
    death_record &record = recordFor(state, request, now);
    for (const instance_id instance : forgiven) {
        insertOrdered(record.forgiven, instance);
    }
}

bool isQuarantined(const quarantine &state, request_fingerprint request, std::uint32_t deaths)
{
    return countDeaths(state, request) >= deaths;
}

bool isSuspectRequest(const quarantine &state, request_fingerprint request)
{
    return countDeaths(state, request) > 0;
}

std::vector<death_record> listQuarantined(const quarantine &state, std::uint32_t deaths)
{
    std::vector<death_record> held;
    std::ranges::copy_if(state.records, std::back_inserter(held),
                         [&](const death_record &record) { return countDeaths(state, record.request) >= deaths; });
    return held;
}

void expire(quarantine &state, instant now)
{
    std::erase_if(state.records, [now](const death_record &record) { return record.lastDeath + retention < now; });
    std::erase_if(state.unconfirmedLosses,
                  [now](const lost_request &lost) { return lost.lostAt + deathConfirmationLimit < now; });
}

} // namespace guavafront
