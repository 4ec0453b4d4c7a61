// Compares admission policies in a simulation with virtual time: one large account sends more than its contracted rate
// (it floods), the others stay within theirs.
// Usage: admission_bench [FIRST_SEED [SEEDS]]
#include <guavafront/coordination/admission/admission_queue.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <queue>
#include <random>
#include <vector>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t accountCount = 8;
constexpr std::size_t kindCount = 3;
constexpr std::size_t floodingAccount = 0;
constexpr double meanServiceSeconds = 0.02;
constexpr duration requestTimeout = 1s;
constexpr duration simulatedTime = 60s;

/// Parameters of one simulated service.
struct scenario {
    const char *name; ///< Name in the table.
    std::uint32_t slots; ///< Slots of all instances of the service.
    double load; ///< Sum of the contracted rates of all accounts, as a share of the capacity.
    double floodFactor; ///< Rate of the flooding account as a multiple of its contracted rate.
    double floodServiceTimeFactor; ///< Service time of the flooding account's requests as a multiple of the others'.
};

/// Measurements of one account.
struct account_result {
    std::uint64_t offered = 0; ///< Requests sent.
    std::uint64_t lastKindOffered = 0; ///< Requests sent of the least important kind.
    std::uint64_t lastKindServed = 0; ///< Requests served of the least important kind.
    std::vector<double> latencies; ///< Seconds from arrival to answer of each served request.
    std::vector<double> firstKindLatencies; ///< Latencies of the most important kind only.
};

/// Arrival of a request, or end of its service.
struct simulation_event {
    instant at; ///< Virtual time of the event.
    std::uint64_t number; ///< Sequence number, which orders events at the same time.
    std::size_t account; ///< Account that sent the request.
    bool arrival; ///< Whether it is an arrival; otherwise the end of a request's service.
    duration service; ///< Service time of the request that ends; 0 for an arrival.

    /// Gives later events lower priority in the event queue.
    bool operator<(const simulation_event &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

/// A service with one admission queue, in virtual time.
struct simulation {
    scenario setup; ///< Parameters of the service.
    bool weighted = false; ///< Whether accounts have weights by contracted rate; otherwise all weights are 1.
    admission_queue queue; ///< Queue under test.
    std::mt19937_64 random; ///< Source of arrival times, kinds and service times.
    std::vector<account_result> results{accountCount}; ///< Measurements by account.
    /// Arrival time and kind of each request, by request id.
    std::vector<std::pair<instant, std::uint32_t>> sentRequests;
    std::priority_queue<simulation_event> events; ///< Events that are still to come, the earliest first.
    std::uint64_t lastEventNumber = 0; ///< Number of the event scheduled last.
    std::uint32_t busySlots = 0; ///< Slots in use.

    /// Returns the requests a second of an account's contracted rate. The two large accounts have a quarter of the
    /// total each, and six small ones share the other half.
    double contractedRate(std::size_t account) const
    {
        const double total = setup.load * setup.slots / meanServiceSeconds;
        return account < 2 ? total / 4 : total / 12;
    }

    /// Draws a duration from an exponential distribution with the given mean; at least 1 us.
    duration drawDuration(double meanSeconds)
    {
        const double seconds = std::exponential_distribution<double>(1 / meanSeconds)(random);
        return duration(static_cast<duration::rep>(seconds * 1e6) + 1);
    }

    /// Schedules the arrival of an account's next request.
    void scheduleArrival(std::size_t account, instant now)
    {
        const double factor = account == floodingAccount ? setup.floodFactor : 1;
        events.push({now + drawDuration(1 / (contractedRate(account) * factor)), ++lastEventNumber, account, true, {}});
    }

    /// Admits waiting requests until all slots are in use.
    void fillFreeSlots(instant now)
    {
        admission_effects effects;
        while (busySlots < setup.slots) {
            const auto next = admitNext(queue, now, effects);
            if (!next) {
                return;
            }
            ++busySlots;
            const std::size_t account = next->account.value;
            const duration service =
                drawDuration(meanServiceSeconds * (account == floodingAccount ? setup.floodServiceTimeFactor : 1));
            events.push({now + service, ++lastEventNumber, account, false, service});
            const auto &[start, kind] = sentRequests[next->id.value];
            const double latency = std::chrono::duration<double>(now + service - start).count();
            account_result &result = results[account];
            result.latencies.push_back(latency);
            if (kind == 0) {
                result.firstKindLatencies.push_back(latency);
            }
            result.lastKindServed += kind + 1 == kindCount ? 1 : 0;
        }
    }

    /// Enqueues a request of a random kind and schedules the account's next one.
    void handleArrival(std::size_t account, instant now)
    {
        const auto kind = static_cast<std::uint32_t>(random() % kindCount);
        admission_effects effects;
        ++results[account].offered;
        results[account].lastKindOffered += kind + 1 == kindCount ? 1 : 0;
        const admission_request request{
            .id = {sentRequests.size()}, .account = {static_cast<std::uint32_t>(account)}, .kindRank = kind};
        sentRequests.emplace_back(now, kind);
        admission_request timedRequest = request;
        timedRequest.deadline = now + requestTimeout;
        timedRequest.weight = weighted ? contractedRate(account) / contractedRate(accountCount - 1) : 1;
        enqueue(queue, timedRequest, now, effects);
        scheduleArrival(account, now);
    }

    /// Runs the simulation from start to end.
    void run()
    {
        for (std::size_t account = 0; account < accountCount; ++account) {
            scheduleArrival(account, instant{});
        }
        while (events.top().at < instant(simulatedTime)) {
            const simulation_event event = events.top();
            events.pop();
            if (event.arrival) {
                handleArrival(event.account, event.at);
            } else {
                --busySlots;
                finishService(queue, {static_cast<std::uint32_t>(event.account)}, event.service, event.at);
            }
            fillFreeSlots(event.at);
        }
    }
};

/// Returns the 99th percentile; infinite if there are no values.
double percentile99(std::vector<double> values)
{
    if (values.empty()) {
        return 1.0 / 0.0;
    }
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::ranges::nth_element(values, place);
    return *place;
}

/// Results of one run, or their averages over all seeds. Goodput is the share of the sent requests that were served.
struct policy_summary {
    double worstGoodput = 0; ///< Lowest goodput of the accounts that do not flood.
    double worstP99 = 0; ///< Highest p99 latency of the accounts that do not flood, in seconds.
    double worstFirstKindP99 = 0; ///< Highest p99 latency of their most important kind, in seconds.
    double worstLastKindGoodput = 0; ///< Lowest goodput of their least important kind.
    double jain = 0; ///< Jain's fairness index of the served shares of the contracted rates.
    double floodingAccountShare = 0; ///< Requests served of the flooding account as a share of its contracted rate.
};

policy_summary summarize(const simulation &run)
{
    policy_summary figures{.worstGoodput = 1, .worstLastKindGoodput = 1};
    double sum = 0;
    double squares = 0;
    for (std::size_t account = 0; account < accountCount; ++account) {
        const account_result &result = run.results[account];
        const double served = static_cast<double>(result.latencies.size());
        const double contracted =
            std::min(static_cast<double>(result.offered),
                     run.contractedRate(account) * 1e-6 * static_cast<double>(simulatedTime / 1us));
        const double share = std::min(1.0, served / contracted);
        sum += share;
        squares += share * share;
        if (account == floodingAccount) {
            figures.floodingAccountShare = served / contracted;
            continue;
        }
        figures.worstGoodput = std::min(figures.worstGoodput, served / static_cast<double>(result.offered));
        figures.worstP99 = std::max(figures.worstP99, percentile99(result.latencies));
        figures.worstFirstKindP99 = std::max(figures.worstFirstKindP99, percentile99(result.firstKindLatencies));
        figures.worstLastKindGoodput =
            std::min(figures.worstLastKindGoodput,
                     static_cast<double>(result.lastKindServed) / static_cast<double>(result.lastKindOffered));
    }
    figures.jain = sum * sum / (accountCount * squares);
    return figures;
}

void printSummary(const scenario &setup, const char *policyName, const admission_settings &settings, bool weighted,
                  std::uint64_t firstSeed, std::uint64_t seedCount)
{
    policy_summary mean;
    const double weight = 1 / static_cast<double>(seedCount);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        simulation run{
            .setup = setup, .weighted = weighted, .queue = {.settings = settings}, .random = std::mt19937_64(seed)};
        run.run();
        const policy_summary figures = summarize(run);
        mean.worstGoodput += weight * figures.worstGoodput;
        mean.worstP99 += weight * figures.worstP99;
        mean.worstFirstKindP99 += weight * figures.worstFirstKindP99;
        mean.worstLastKindGoodput += weight * figures.worstLastKindGoodput;
        mean.jain += weight * figures.jain;
        mean.floodingAccountShare += weight * figures.floodingAccountShare;
    }
    std::printf("| %-28s | %-23s | %.3f | %6.0f | %6.0f | %.3f | %.3f | %.2f |\n", setup.name, policyName,
                mean.worstGoodput, mean.worstP99 * 1e3, mean.worstFirstKindP99 * 1e3, mean.worstLastKindGoodput,
                mean.jain, mean.floodingAccountShare);
}

} // namespace

} // namespace guavafront

int main(int argc, char **argv)
{
    using namespace guavafront;
    const std::uint64_t firstSeed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t seedCount = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5;
    std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(firstSeed),
                static_cast<unsigned long long>(firstSeed + seedCount - 1));
    std::printf("| scenario | policy | worst goodput | worst p99 ms | first kind p99 ms | last kind goodput | Jain | "
                "flooder |\n|---|---|---|---|---|---|---|---|\n");
    const scenario scenarios[] = {
        {"6x4 flood x5", 24, 0.7, 5, 1},          {"10x4 flood x5", 40, 0.7, 5, 1},
        {"20x4 flood x5", 80, 0.7, 5, 1},         {"6x6 flood x5", 36, 0.7, 5, 1},
        {"20x6 flood x5", 120, 0.7, 5, 1},        {"10x4 flood x5, 4x longer", 40, 0.7, 5, 4},
        {"10x4 all within, 1.3x", 40, 1.3, 1, 1}, {"6x4 half gone, flood x5", 12, 1.4, 5, 1},
    };
    for (const scenario &setup : scenarios) {
        const admission_settings roundRobin{.policy = admission_policy::DeficitRoundRobin};
        printSummary(setup, "first-come", {.policy = admission_policy::FirstCome}, false, firstSeed, seedCount);
        printSummary(setup, "round robin, equal", roundRobin, false, firstSeed, seedCount);
        printSummary(setup, "round robin, by rate", roundRobin, true, firstSeed, seedCount);
        printSummary(setup, "least attained, equal", {}, false, firstSeed, seedCount);
        printSummary(setup, "least attained, by rate", {}, true, firstSeed, seedCount);
        printSummary(setup, "the same, 0.2 s", {.attainedServiceHalfLife = 200ms}, true, firstSeed, seedCount);
        printSummary(setup, "the same, 20 s", {.attainedServiceHalfLife = 20s}, true, firstSeed, seedCount);
    }
    return 0;
}
