// Compares orders of admission in virtual time: one large account floods, the others stay within their rate.
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
constexpr std::size_t flooder = 0;
constexpr double serviceSeconds = 0.02;
constexpr duration patience = 1s;
constexpr duration length = 60s;

/// One situation of a service.
struct scenario {
    const char *name; ///< Shown in the table.
    std::uint32_t slots; ///< Of all its instances.
    double load; ///< Sum of the accounts' rates as a part of the capacity.
    double flood; ///< The flooder's requests as a multiple of its rate.
    double floodLength; ///< The flooder's service time as a multiple of the others'.
};

/// What one account got.
struct account_result {
    std::uint64_t offered = 0; ///< Requests sent.
    std::uint64_t lastOffered = 0; ///< Of them of the last kind.
    std::uint64_t lastServed = 0; ///< Served of the last kind.
    std::vector<double> latencies; ///< Seconds to the answer, of those served.
    std::vector<double> firstKind; ///< The same for the first kind.
};

/// Event of the simulation.
struct timed {
    instant at; ///< When.
    std::uint64_t number; ///< Tie breaker.
    std::size_t account; ///< Whose.
    bool arrival; ///< Arrival, else end of service.
    duration service; ///< Service time of a request that ends.

    /// Later events have lower priority.
    bool operator<(const timed &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

/// A service with one queue in virtual time.
struct simulation {
    scenario given; ///< Situation.
    bool weighted = false; ///< Accounts weigh by their rates.
    admission_queue queue; ///< Under test.
    std::mt19937_64 random; ///< Arrivals and service times.
    std::vector<account_result> results{accountCount}; ///< By account.
    std::vector<std::pair<instant, std::uint32_t>> sent; ///< Time and kind of each request, by number.
    std::priority_queue<timed> events; ///< What is to come.
    std::uint64_t numbers = 0; ///< Of events.
    std::uint32_t busy = 0; ///< Slots in use.

    /// Contracted rate: two large accounts with a quarter each, six small ones share the rest.
    double rateOf(std::size_t account) const
    {
        const double total = given.load * given.slots / serviceSeconds;
        return account < 2 ? total / 4 : total / 12;
    }

    /// Seconds drawn from an exponential distribution.
    duration draw(double meanSeconds)
    {
        const double seconds = std::exponential_distribution<double>(1 / meanSeconds)(random);
        return duration(static_cast<duration::rep>(seconds * 1e6) + 1);
    }

    /// Plans an account's next request.
    void planArrival(std::size_t account, instant now)
    {
        const double factor = account == flooder ? given.flood : 1;
        events.push({now + draw(1 / (rateOf(account) * factor)), ++numbers, account, true, {}});
    }

    /// Fills free slots.
    void serve(instant now)
    {
        admission_effects effects;
        while (busy < given.slots) {
            const auto next = admitNext(queue, now, effects);
            if (!next) {
                return;
            }
            ++busy;
            const std::size_t account = next->account.value;
            const duration service = draw(serviceSeconds * (account == flooder ? given.floodLength : 1));
            events.push({now + service, ++numbers, account, false, service});
            const auto &[start, kind] = sent[next->id.value];
            const double latency = std::chrono::duration<double>(now + service - start).count();
            account_result &result = results[account];
            result.latencies.push_back(latency);
            if (kind == 0) {
                result.firstKind.push_back(latency);
            }
            result.lastServed += kind + 1 == kindCount ? 1 : 0;
        }
    }

    /// Takes a request in.
    void arrive(std::size_t account, instant now)
    {
        const auto kind = static_cast<std::uint32_t>(random() % kindCount);
        admission_effects effects;
        ++results[account].offered;
        results[account].lastOffered += kind + 1 == kindCount ? 1 : 0;
        const admission_request request{
            .id = {sent.size()}, .account = {static_cast<std::uint32_t>(account)}, .kindRank = kind};
        sent.emplace_back(now, kind);
        admission_request timedRequest = request;
        timedRequest.deadline = now + patience;
        timedRequest.weight = weighted ? rateOf(account) / rateOf(accountCount - 1) : 1;
        enqueue(queue, timedRequest, now, effects);
        planArrival(account, now);
    }

    /// Runs the whole length.
    void run()
    {
        for (std::size_t account = 0; account < accountCount; ++account) {
            planArrival(account, instant{});
        }
        while (events.top().at < instant(length)) {
            const timed event = events.top();
            events.pop();
            if (event.arrival) {
                arrive(event.account, event.at);
            } else {
                --busy;
                finishService(queue, {static_cast<std::uint32_t>(event.account)}, event.service, event.at);
            }
            serve(event.at);
        }
    }
};

/// The value below which 99 of 100 are; infinite for none.
double percentile99(std::vector<double> values)
{
    if (values.empty()) {
        return 1.0 / 0.0;
    }
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::ranges::nth_element(values, place);
    return *place;
}

/// Figures of one policy, averaged over the seeds.
struct summary {
    double worstGoodput = 0; ///< Lowest part served of an account that doesn't flood.
    double worstP99 = 0; ///< Highest p99 latency of those, in seconds.
    double worstFirstKindP99 = 0; ///< The same for their first kind.
    double worstLastKind = 0; ///< Lowest part served of their last kind.
    double jain = 0; ///< Jain's index of the parts of the contracted rates that were served.
    double flooderPart = 0; ///< Flooder's goodput as a part of its contracted rate.
};

summary measure(const simulation &run)
{
    summary figures{.worstGoodput = 1, .worstLastKind = 1};
    double sum = 0;
    double squares = 0;
    for (std::size_t account = 0; account < accountCount; ++account) {
        const account_result &result = run.results[account];
        const double served = static_cast<double>(result.latencies.size());
        const double contracted = std::min(static_cast<double>(result.offered),
                                           run.rateOf(account) * 1e-6 * static_cast<double>(length / 1us));
        const double part = std::min(1.0, served / contracted);
        sum += part;
        squares += part * part;
        if (account == flooder) {
            figures.flooderPart = served / contracted;
            continue;
        }
        figures.worstGoodput = std::min(figures.worstGoodput, served / static_cast<double>(result.offered));
        figures.worstP99 = std::max(figures.worstP99, percentile99(result.latencies));
        figures.worstFirstKindP99 = std::max(figures.worstFirstKindP99, percentile99(result.firstKind));
        figures.worstLastKind = std::min(figures.worstLastKind, static_cast<double>(result.lastServed)
                                                                    / static_cast<double>(result.lastOffered));
    }
    figures.jain = sum * sum / (accountCount * squares);
    return figures;
}

void report(const scenario &given, const char *name, const admission_settings &settings, bool weighted,
            std::uint64_t first, std::uint64_t seeds)
{
    summary mean;
    const double weight = 1 / static_cast<double>(seeds);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        simulation run{
            .given = given, .weighted = weighted, .queue = {.settings = settings}, .random = std::mt19937_64(seed)};
        run.run();
        const summary figures = measure(run);
        mean.worstGoodput += weight * figures.worstGoodput;
        mean.worstP99 += weight * figures.worstP99;
        mean.worstFirstKindP99 += weight * figures.worstFirstKindP99;
        mean.worstLastKind += weight * figures.worstLastKind;
        mean.jain += weight * figures.jain;
        mean.flooderPart += weight * figures.flooderPart;
    }
    std::printf("| %-28s | %-23s | %.3f | %6.0f | %6.0f | %.3f | %.3f | %.2f |\n", given.name, name, mean.worstGoodput,
                mean.worstP99 * 1e3, mean.worstFirstKindP99 * 1e3, mean.worstLastKind, mean.jain, mean.flooderPart);
}

} // namespace

} // namespace guavafront

int main(int argc, char **argv)
{
    using namespace guavafront;
    const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t seeds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5;
    std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(first),
                static_cast<unsigned long long>(first + seeds - 1));
    std::printf("| scenario | policy | worst goodput | worst p99 ms | first kind p99 ms | last kind goodput | Jain | "
                "flooder |\n|---|---|---|---|---|---|---|---|\n");
    const scenario scenarios[] = {
        {"6x4 flood x5", 24, 0.7, 5, 1},          {"10x4 flood x5", 40, 0.7, 5, 1},
        {"20x4 flood x5", 80, 0.7, 5, 1},         {"6x6 flood x5", 36, 0.7, 5, 1},
        {"20x6 flood x5", 120, 0.7, 5, 1},        {"10x4 flood x5, 4x longer", 40, 0.7, 5, 4},
        {"10x4 all within, 1.3x", 40, 1.3, 1, 1}, {"6x4 half gone, flood x5", 12, 1.4, 5, 1},
    };
    for (const scenario &given : scenarios) {
        const admission_settings roundRobin{.policy = admission_policy::DeficitRoundRobin};
        report(given, "first-come", {.policy = admission_policy::FirstCome}, false, first, seeds);
        report(given, "round robin, equal", roundRobin, false, first, seeds);
        report(given, "round robin, by rate", roundRobin, true, first, seeds);
        report(given, "least attained, equal", {}, false, first, seeds);
        report(given, "least attained, by rate", {}, true, first, seeds);
        report(given, "the same, 0.2 s", {.halfLife = 200ms}, true, first, seeds);
        report(given, "the same, 20 s", {.halfLife = 20s}, true, first, seeds);
    }
    return 0;
}
