// Compares mechanisms that hold accounts to a rate over a fleet, and measures the limiter of the library at several
// fleet sizes. Runs in virtual time.
// Usage: limits_bench ways|sizes [SEED]
#include "limits/limiter_fleet.h"
#include "wire/envelope.h"
#include "wire/limits_codec.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string_view>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr instant warmUpEnd(8s);
constexpr std::size_t vmCount = 48;
constexpr std::uint32_t accountCount = 8;

/// One request of a trace.
struct arrival {
    instant at; ///< Time of arrival.
    account_id account; ///< Account of the request.
    std::size_t vmIndex; ///< VM at which the request arrives.
};

/// What one mechanism did with a trace.
struct outcome {
    std::map<account_id, std::vector<instant>> admitted; ///< Times at which requests were admitted.
    std::uint64_t messages = 0; ///< Number of messages between VMs.
};

/// Describes how the requests of a trace arrive.
struct traffic_pattern {
    const char *name; ///< Name in the printed table.
    double load; ///< Request rate as a part of the account's rate limit.
    double flood; ///< Factor of the load of account 1.
    duration stay; ///< Time for which an account's requests go to one VM; 0 spreads them over all.
    double bursts; ///< Size of the bursts at one VM every 5 s, as a part of the account's burst.
    double loss; ///< Part of the messages that is lost, 0 to 1.
};

rate_limit limitFor(account_id account)
{
    return account.value <= 2 ? rate_limit{1'000, 2'000} : rate_limit{100, 200};
}

limit_table table()
{
    limit_table limits{.defaults = limitFor({3})};
    limits.exceptions = {{account_id{1}, limitFor({1})}, {account_id{2}, limitFor({2})}};
    return limits;
}

std::vector<arrival> makeTrace(const traffic_pattern &traffic, std::mt19937_64 &random)
{
    std::vector<arrival> trace;
    const instant end = warmUpEnd + 30s;
    for (std::uint32_t number = 1; number <= accountCount; ++number) {
        const account_id account{number};
        const rate_limit limit = limitFor(account);
        std::exponential_distribution<double> gap(limit.ratePerSecond * traffic.load
                                                  * (number == 1 ? traffic.flood : 1));
        for (instant when = warmUpEnd; when < end;
             when += duration(1 + static_cast<duration::rep>(gap(random) * 1e6))) {
            const auto stayNumber =
                traffic.stay.count() == 0 ? random() : static_cast<std::uint64_t>((when - warmUpEnd) / traffic.stay);
            trace.push_back({when, account, (stayNumber * 7 + std::uint64_t{number} * 5) % vmCount});
        }
        for (instant when = warmUpEnd + 2s; when < end && traffic.bursts > 0; when += 5s) {
            const std::size_t vmIndex = random() % vmCount;
            trace.insert(trace.end(), static_cast<std::size_t>(traffic.bursts * limit.burst), {when, account, vmIndex});
        }
    }
    std::ranges::stable_sort(trace, {}, &arrival::at);
    return trace;
}

bool takeFrom(token_bucket &bucket, instant now, double part)
{
    if (bucket.limit.burst == 0) {
        return false;
    }
    const double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.level = std::min(bucket.limit.burst * part, bucket.level + seconds * bucket.limit.ratePerSecond * part);
    bucket.refilledAt = now;
    if (bucket.level < 1) {
        return false;
    }
    bucket.level -= 1;
    return true;
}

token_bucket fullBucket(account_id account)
{
    const rate_limit limit = limitFor(account);
    return {.limit = limit, .level = limit.burst, .refilledAt = warmUpEnd};
}

/// All VMs share one bucket for each account without delay: exactly what the limit allows.
outcome sharedBucket(std::span<const arrival> trace)
{
    outcome result;
    std::map<account_id, token_bucket> buckets;
    for (const arrival &each : trace) {
        token_bucket &bucket = buckets.try_emplace(each.account, fullBucket(each.account)).first->second;
        if (takeFrom(bucket, each.at, 1)) {
            result.admitted[each.account].push_back(each.at);
        }
    }
    return result;
}

/// Each VM has a fixed 1 / vmCount of rate and burst.
outcome staticShare(std::span<const arrival> trace)
{
    outcome result;
    std::map<std::pair<account_id, std::size_t>, token_bucket> buckets;
    for (const arrival &each : trace) {
        token_bucket &bucket =
            buckets.try_emplace({each.account, each.vmIndex}, fullBucket(each.account)).first->second;
        if (takeFrom(bucket, each.at, 1.0 / vmCount)) {
            result.admitted[each.account].push_back(each.at);
        }
    }
    return result;
}

/// One VM holds all buckets, and the others ask it for each request.
outcome centralBucket(std::span<const arrival> trace, const traffic_pattern &traffic, std::mt19937_64 &random)
{
    outcome result;
    std::vector<arrival> asked;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (const arrival &each : trace) {
        result.messages += 2;
        if (uniform(random) >= traffic.loss) {
            const duration delay(1'000 + static_cast<duration::rep>(uniform(random) * 3'000));
            asked.push_back({each.at + delay, each.account, each.vmIndex});
        }
    }
    std::ranges::stable_sort(asked, {}, &arrival::at);
    std::map<account_id, token_bucket> buckets;
    for (const arrival &each : asked) {
        token_bucket &bucket = buckets.try_emplace(each.account, fullBucket(each.account)).first->second;
        if (takeFrom(bucket, each.at, 1) && uniform(random) >= traffic.loss) {
            result.admitted[each.account].push_back(each.at + 2ms);
        }
    }
    for (auto &[account, times] : result.admitted) {
        std::ranges::sort(times);
    }
    return result;
}

/// Each VM keeps a copy of every bucket and sends the tokens that it took to all others every 200 ms.
outcome gossipedUsage(std::span<const arrival> trace, const traffic_pattern &traffic, std::mt19937_64 &random)
{
    outcome result;
    std::map<std::pair<account_id, std::size_t>, token_bucket> buckets;
    std::map<std::pair<account_id, std::size_t>, std::vector<double>> reportedCounts;
    std::map<std::pair<account_id, std::size_t>, double> taken;
    instant nextRound = warmUpEnd;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (const arrival &each : trace) {
        for (; nextRound <= each.at; nextRound += 200ms) {
            for (const auto &[key, count] : taken) {
                std::vector<double> &known = reportedCounts.try_emplace(key, vmCount, 0.0).first->second;
                for (std::size_t vmIndex = 0; vmIndex < vmCount; ++vmIndex) {
                    ++result.messages;
                    if (vmIndex == key.second || uniform(random) < traffic.loss) {
                        continue;
                    }
                    auto &bucket = buckets.try_emplace({key.first, vmIndex}, fullBucket(key.first)).first->second;
                    bucket.level -= count - known[vmIndex];
                    known[vmIndex] = count;
                }
            }
        }
        token_bucket &bucket =
            buckets.try_emplace({each.account, each.vmIndex}, fullBucket(each.account)).first->second;
        if (takeFrom(bucket, each.at, 1)) {
            result.admitted[each.account].push_back(each.at);
            taken[{each.account, each.vmIndex}] += 1;
        }
    }
    return result;
}

/// The limiter of the library, which leases parts of the budgets.
outcome leasedBudgets(std::span<const arrival> trace, const traffic_pattern &traffic, std::uint64_t seed)
{
    limiter_fleet fleet(vmCount, {}, table(), seed);
    fleet.faults.loss = traffic.loss;
    fleet.faults.duplication = traffic.loss;
    fleet.runUntil(warmUpEnd);
    const std::uint64_t before = fleet.sent;
    for (const arrival &each : trace) {
        fleet.schedule(each.at, [&fleet, each] { fleet.request(each.vmIndex, each.account); });
    }
    fleet.runUntil(warmUpEnd + 31s);
    return {.admitted = fleet.admitted, .messages = fleet.sent - before};
}

double worstExcess(std::span<const instant> times, const rate_limit &limit)
{
    double level = limit.burst;
    double worst = 0;
    instant last = warmUpEnd;
    for (const instant each : times) {
        const double seconds = std::chrono::duration<double>(each - last).count();
        level = std::min(limit.burst, level + limit.ratePerSecond * seconds) - 1;
        last = each;
        worst = std::max(worst, -level);
    }
    return worst;
}

void report(const traffic_pattern &traffic, const char *name, const outcome &allowed, const outcome &result)
{
    double missing = 0;
    double total = 0;
    double worstMissing = 0;
    double excess = 0;
    for (const auto &[account, times] : allowed.admitted) {
        const auto found = result.admitted.find(account);
        const std::vector<instant> none;
        const std::vector<instant> &got = found == result.admitted.end() ? none : found->second;
        const double lost = std::max(0.0, static_cast<double>(times.size()) - static_cast<double>(got.size()));
        missing += lost;
        total += static_cast<double>(times.size());
        worstMissing = std::max(worstMissing, lost / static_cast<double>(times.size()));
        excess = std::max(excess, worstExcess(got, limitFor(account)) / limitFor(account).burst);
    }
    std::printf("| %-26s | %-16s | %6.2f | %6.2f | %7.1f | %7.0f |\n", traffic.name, name, 100 * missing / total,
                100 * worstMissing, 100 * excess, static_cast<double>(result.messages) / 30);
}

void compareMechanisms(std::uint64_t seed)
{
    std::printf("seed %llu, %zu VMs, %u accounts\n", static_cast<unsigned long long>(seed), vmCount, accountCount);
    std::printf("| traffic | way | refused within rate %% | at the worst account %% | over-admission, %% of burst | "
                "messages/s |\n|---|---|---|---|---|---|\n");
    const traffic_pattern patterns[] = {
        {"spread over all VMs", 0.9, 1, 0s, 0, 0}, {"at one VM", 0.9, 1, 1h, 0, 0},
        {"moves every 2 s", 0.9, 1, 2s, 0, 0},     {"moves, 2 % loss", 0.9, 1, 2s, 0, 0.02},
        {"bursts of 0.8", 0.3, 1, 0s, 0.8, 0},     {"one account floods x5", 0.9, 5, 0s, 0, 0}};
    for (const traffic_pattern &traffic : patterns) {
        std::mt19937_64 random(seed);
        const std::vector<arrival> trace = makeTrace(traffic, random);
        const outcome allowed = sharedBucket(trace);
        report(traffic, "static share", allowed, staticShare(trace));
        report(traffic, "central bucket", allowed, centralBucket(trace, traffic, random));
        report(traffic, "gossiped counts", allowed, gossipedUsage(trace, traffic, random));
        report(traffic, "leases", allowed, leasedBudgets(trace, traffic, seed));
    }
}

void measureSize(std::uint32_t vms, std::uint32_t accounts, std::uint32_t requestsPerSecond, std::uint64_t seed)
{
    const double mean = static_cast<double>(requestsPerSecond) / accounts;
    const limit_settings settings{.fleetSize = vms};
    limiter_fleet fleet(vms, settings, {.defaults = {2 * mean, 4 * mean}}, seed);
    fleet.runUntil(warmUpEnd);
    std::uint64_t bytes = 0;
    std::vector<std::uint64_t> bytesOf(vms);
    fleet.onSend = [&](std::size_t from, const limit_send &send) {
        const std::size_t size =
            encodeEnvelope({.kind = channel::Limits, .body = encodeLimitMessage(send.message)}).size();
        bytes += size;
        bytesOf[from] += size;
    };
    const duration length = 4s;
    const auto interval = duration(1'000'000 / requestsPerSecond);
    const std::clock_t started = std::clock();
    const std::uint64_t sentBefore = fleet.sent;
    for (instant when = warmUpEnd; when < warmUpEnd + length; when += 1ms) {
        for (std::uint32_t number = 0; number < requestsPerSecond / 1'000; ++number) {
            const std::size_t vmIndex = fleet.randomIndex(vms);
            const account_id account{static_cast<std::uint32_t>(1 + fleet.randomIndex(accounts))};
            fleet.schedule(when + number * interval, [&fleet, vmIndex, account] { fleet.request(vmIndex, account); });
        }
        fleet.runUntil(when + 1ms);
    }
    const double cpu = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
    std::size_t entryAccounts = 0;
    std::size_t owned = 0;
    std::size_t lessees = 0;
    for (const fleet_vm &vm : fleet.vms) {
        entryAccounts = std::max(entryAccounts, vm.state.leases.accounts.size());
        owned = std::max(owned, vm.state.owner.accounts.size());
        std::size_t records = 0;
        for (const auto &[id, account] : vm.state.owner.accounts) {
            records += account.lessees.size();
        }
        lessees = std::max(lessees, records);
    }
    const double requests = requestsPerSecond * std::chrono::duration<double>(length).count();
    const double vmSeconds = vms * std::chrono::duration<double>(length).count();
    const double memory =
        static_cast<double>(entryAccounts * (sizeof(leased_account) + 32) + owned * (sizeof(owned_account) + 32)
                            + lessees * (sizeof(lessee_record) + 32));
    std::printf("| %u | %u | %u | %.3f | %.0f | %.0f | %.2f | %zu | %zu | %zu | %.0f | %.2f |\n", vms, accounts,
                requestsPerSecond, 100 * static_cast<double>(fleet.refused) / requests,
                static_cast<double>(bytes) / vmSeconds,
                static_cast<double>(std::ranges::max(bytesOf)) / std::chrono::duration<double>(length).count(),
                static_cast<double>(fleet.sent - sentBefore) / requests, entryAccounts, owned, lessees, memory / 1024,
                100 * cpu / vmSeconds);
}

void measureSizes(std::uint64_t seed)
{
    std::printf("seed %llu; load at half the rates, spread over all VMs\n", static_cast<unsigned long long>(seed));
    std::printf(
        "| VMs | accounts | requests/s | refused %% | bytes/s per VM | bytes/s at the busiest VM | messages per "
        "request | accounts in use, most | owned, most | leases owned, most | KiB, most | %% of a core per VM "
        "|\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    measureSize(48, 8, 12'000, seed);
    measureSize(300, 8'750, 80'000, seed);
    measureSize(600, 17'500, 160'000, seed);
    measureSize(1'200, 35'000, 320'000, seed);
}

} // namespace

} // namespace guavafront

int main(int argc, char **argv)
{
    const std::string_view what = argc > 1 ? argv[1] : "ways";
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    if (what == "sizes") {
        guavafront::measureSizes(seed);
    } else {
        guavafront::compareMechanisms(seed);
    }
    return 0;
}
