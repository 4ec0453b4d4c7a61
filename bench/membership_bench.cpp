#include "daemon/peers/peers_task.h"
#include "spread/spread_fleet.h"
#include "wire/membership_codec.h"
#include "wire/spread_codec.h"

#include <glog/logging.h>

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/// Bytes of headers for each message: envelope, masked WebSocket frame, TCP with timestamps and IP. TCP
/// acknowledgements are not counted.
constexpr std::size_t headerBytes = envelopeOverheadBytes + 6 + 52;

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto secondsOf = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Messages and bytes sent by all VMs together.
struct traffic {
    std::uint64_t messages = 0; ///< Number of messages.
    std::uint64_t bodyBytes = 0; ///< Bytes of the encoded messages without headers.

    double wireBytes() const
    {
        return static_cast<double>(bodyBytes + messages * headerBytes);
    }
};

/// Simulated fleet that encodes and decodes each message, as the daemon does, and counts the traffic.
struct measured_fleet {
    spread_fleet fleet;
    traffic sent;

    explicit measured_fleet(std::size_t count)
    {
        const auto previousHandler = fleet.membership.onEffect;
        fleet.membership.onEffect = [this, previousHandler](memory_fleet::vm &self, const membership_effect &effect) {
            if (const auto *send = std::get_if<send_membership>(&effect)) {
                record(encodeMembership(send->message), [](const byte_buffer &bytes) { decodeMembership(bytes); });
            }
            previousHandler(self, effect);
        };
        fleet.onEffect = [this](vm_id, const spread_effect &effect) {
            if (const auto *send = std::get_if<send_spread>(&effect)) {
                record(encodeSpread(send->message), [](const byte_buffer &bytes) { decodeSpread(bytes); });
            }
        };
        fleet.membership.startAll(count);
    }

    void record(const byte_buffer &bytes, void (*decode)(const byte_buffer &))
    {
        decode(bytes);
        ++sent.messages;
        sent.bodyBytes += bytes.size();
    }

    bool allCountAlive() const
    {
        return std::ranges::all_of(fleet.membership.vms, [this](const auto &entry) {
            return entry.second.state.aliveCount == fleet.membership.vms.size();
        });
    }

    /// Simulated seconds until all VMs count all others alive; -1 when they don't within the limit.
    double timeToAgree(duration limit)
    {
        const instant start = fleet.membership.now;
        return fleet.membership.runUntil([this] { return allCountAlive(); }, limit)
                   ? secondsOf(fleet.membership.now - start)
                   : -1;
    }

    vm_id vmAt(std::size_t position) const
    {
        return std::next(fleet.membership.vms.begin(), static_cast<std::ptrdiff_t>(position))->first;
    }
};

void measureIdle(measured_fleet &measured)
{
    const auto count = static_cast<double>(measured.fleet.membership.vms.size());
    measured.fleet.membership.run(seconds(30));
    measured.sent = {};
    const double cpuBefore = cpuSeconds();
    constexpr int time = 30;
    measured.fleet.membership.run(seconds(time));
    std::printf("  idle: %.1f messages/s, %.0f body B/s, %.0f B/s with headers, %.3f%% of a core, for each VM\n",
                static_cast<double>(measured.sent.messages) / count / time,
                static_cast<double>(measured.sent.bodyBytes) / count / time, measured.sent.wireBytes() / count / time,
                100 * (cpuSeconds() - cpuBefore) / count / time);
}

void measureCrash(measured_fleet &measured)
{
    measured.sent = {};
    measured.fleet.kill(measured.vmAt(measured.fleet.membership.vms.size() / 2));
    const double time = measured.timeToAgree(minutes(2));
    std::printf("  one VM crashes: dead on the last VM after %.1f s\n", time);
}

void measureEntry(measured_fleet &measured)
{
    const vm_id owner = measured.vmAt(1);
    spread_fleet &fleet = measured.fleet;
    const instant start = fleet.membership.now;
    std::uint64_t deltas = 0;
    std::uint64_t bytes = 0;
    const auto previousHandler = fleet.onEffect;
    fleet.onEffect = [&](vm_id, const spread_effect &effect) {
        const auto *send = std::get_if<send_spread>(&effect);
        if (send && std::holds_alternative<spread_delta>(send->message)) {
            ++deltas;
            bytes += encodeSpread(send->message).size() + headerBytes;
        }
    };
    fleet.react(owner, spread_publish{spread_topic::Instances, "flaggstjorn-1", std::vector<std::byte>(100)});
    const spread_key key{.topic = spread_topic::Instances, .owner = owner, .name = "flaggstjorn-1"};
    fleet.membership.runUntil(
        [&] {
            return std::ranges::all_of(fleet.membership.vms,
                                       [&](const auto &each) { return findEntry(fleet.tableOf(each.first), key); });
        },
        minutes(1));
    const double last = secondsOf(fleet.membership.now - start);
    fleet.membership.run(seconds(2));
    fleet.onEffect = previousHandler;
    const auto count = static_cast<double>(fleet.membership.vms.size());
    std::printf(
        "  one entry of 100 B changes: on the last VM after %.1f s; %.1f messages, %.0f B with headers, for each VM\n",
        last, static_cast<double>(deltas) / count, static_cast<double>(bytes) / count);
}

void measureBeacon(measured_fleet &measured)
{
    spread_fleet &fleet = measured.fleet;
    const vm_id leader = measured.vmAt(0);
    std::vector<double> ages;
    for (std::uint64_t counter = 1; counter <= 30; ++counter) {
        issueBeacon(fleet.beacons[leader], {1}, counter, {1}, fleet.membership.now);
        for (int tenth = 0; tenth < 10; ++tenth) {
            fleet.membership.run(std::chrono::milliseconds(100));
            for (const auto &[id, each] : fleet.membership.vms) {
                const auto age = beaconAge(fleet.beacons[id], fleet.membership.now);
                if (counter > 10 && age) {
                    ages.push_back(secondsOf(*age));
                }
            }
        }
    }
    std::ranges::sort(ages);
    std::printf("  beacon issued each second: age known on a VM p50 %.1f s, p99 %.1f s, worst %.1f s\n",
                ages[ages.size() / 2], ages[ages.size() * 99 / 100], ages.back());
}

/// Cuts all links between two halves of the fleet for five minutes and measures how long the views take to agree again.
void measurePartition(measured_fleet &measured)
{
    memory_fleet &membership = measured.fleet.membership;
    const auto sideOf = [](vm_id id) {
        return random_source{id.value}() % 2;
    };
    membership.isCut = [sideOf](vm_id from, vm_id to) {
        return sideOf(from) != sideOf(to);
    };
    membership.run(minutes(5));
    double seen = 0;
    for (const auto &[id, each] : membership.vms) {
        seen += static_cast<double>(each.state.aliveCount)
                / static_cast<double>(membership.vms.size() * membership.vms.size());
    }
    membership.isCut = [](vm_id, vm_id) {
        return false;
    };
    measured.sent = {};
    const instant start = membership.now;
    const double time = measured.timeToAgree(minutes(10));
    const double each = measured.sent.wireBytes() / static_cast<double>(membership.vms.size());
    std::printf("  fleet split for 5 min: a VM holds %.0f%% alive; healed: all alive everywhere after %.0f s, "
                "%.0f B/s sent by each VM\n",
                100 * seen, time, each / std::max(1.0, secondsOf(membership.now - start)));
}

void measureSize(std::size_t count, bool withPartition)
{
    const double heapBefore = heapBytes();
    measured_fleet measured(count);
    const double joined = measured.timeToAgree(minutes(10));
    std::printf("%zu VMs in memory: all start at once, all see all after %.0f s\n", count, joined);
    measureIdle(measured);
    std::printf("  heap: %.0f KB for each VM\n", (heapBytes() - heapBefore) / static_cast<double>(count) / 1024);
    measureEntry(measured);
    measureBeacon(measured);
    measureCrash(measured);
    if (withPartition) {
        measurePartition(measured);
    }
}

/// Measures heap, idle traffic and CPU time of each VM with full tables, and how long a joining VM takes to get all
/// entries.
void measureEntries(std::size_t count, std::size_t entries)
{
    measured_fleet measured(count);
    measured.fleet.options.bytesPerSecond = 1e9; // Fills the tables quickly; the default returns before measuring.
    measured.fleet.options.burstBytes = 1e9;
    measured.timeToAgree(minutes(5));
    const double heapBefore = heapBytes();
    for (std::size_t i = 0; i < entries; ++i) {
        const vm_id owner = measured.vmAt(i % count);
        measured.fleet.react(
            owner, spread_publish{spread_topic::Instances, "rutas-" + std::to_string(i), std::vector<std::byte>(100)});
    }
    const auto full = [&] {
        return std::ranges::all_of(measured.fleet.membership.vms, [&](const auto &each) {
            return measured.fleet.tableOf(each.first).entries.size() == entries;
        });
    };
    measured.fleet.membership.runUntil(full, minutes(5));
    measured.fleet.membership.run(seconds(30));
    std::printf("%zu entries of 100 B on %zu VMs: %.0f KB of heap for each VM\n", entries, count,
                (heapBytes() - heapBefore) / static_cast<double>(count) / 1024);
    const spread_options usual;
    measured.fleet.options = usual;
    for (auto &[id, table] : measured.fleet.tables) {
        table.options = usual;
        table.allowance = std::min(table.allowance, usual.burstBytes);
    }
    measureIdle(measured);
    const instant start = measured.fleet.membership.now;
    const vm_id joiner = measured.fleet.membership.start(count);
    measured.fleet.membership.runUntil([&] { return measured.fleet.tableOf(joiner).entries.size() == entries; },
                                       minutes(10));
    std::printf("  a VM joins: holds all entries after %.0f s\n", secondsOf(measured.fleet.membership.now - start));
}

/// Measures peers tasks that are linked over sockets, all on one thread.
void measureSockets(std::size_t count, duration time)
{
    loop owner;
    std::vector<std::unique_ptr<mailbox<peers_message>>> inboxes;
    std::vector<std::unique_ptr<mailbox<peers_message>>> urgentInboxes;
    std::vector<std::unique_ptr<peers_task>> tasks;
    std::vector<peers_statistics> latest(count);
    std::string seed;
    const double heapBefore = heapBytes();
    for (std::size_t i = 0; i < count; ++i) {
        peers_task_options options;
        options.links.link.self = {.id = {i + 1}, .dataCentre = std::string(1, static_cast<char>('a' + i % 3))};
        options.links.link.secret = deriveFleetSecret("the secret of the measured fleet");
        options.seeds = {seed};
        options.watchers.statistics = {[&latest, i](const peers_statistics &statistics) {
            latest[i] = statistics;
        }};
        inboxes.push_back(std::make_unique<mailbox<peers_message>>(100));
        urgentInboxes.push_back(std::make_unique<mailbox<peers_message>>(100));
        const peers_inboxes own{.requests = *inboxes.back(), .urgent = *urgentInboxes.back()};
        tasks.push_back(std::make_unique<peers_task>(owner, std::move(options), own));
        seed = tasks.front()->self().address;
    }
    timer end(owner, [&owner] { owner.stop(); });
    const auto runFor = [&](duration span) {
        end.arm(span);
        owner.run();
    };
    runFor(seconds(20));
    const std::vector<peers_statistics> before = latest;
    const double cpuBefore = cpuSeconds();
    runFor(time);
    double messages = 0;
    double bytes = 0;
    std::size_t fewestSeen = count;
    std::size_t peers = 0;
    for (std::size_t i = 0; i < count; ++i) {
        messages += static_cast<double>(latest[i].links.messagesSent - before[i].links.messagesSent);
        bytes += static_cast<double>(latest[i].links.bytesSent - before[i].links.bytesSent);
        fewestSeen = std::min(fewestSeen, latest[i].liveVms);
        peers += latest[i].connectedPeers;
    }
    const double each = static_cast<double>(count) * secondsOf(time);
    std::printf("%zu peers tasks over sockets, one thread: fewest VMs seen %zu, %.1f linked peers, %.1f messages/s, "
                "%.0f body B/s, %.3f%% of a core, %.0f KB of heap, for each VM\n",
                count, fewestSeen, static_cast<double>(peers) / static_cast<double>(count), messages / each,
                bytes / each, 100 * (cpuSeconds() - cpuBefore) / each,
                (heapBytes() - heapBefore) / static_cast<double>(count) / 1024);
}

} // namespace

} // namespace guavafront

/// Measures the membership and the replication of entries. "membership_bench N" simulates N VMs (default 48),
/// "membership_bench entries" simulates 12 VMs with 2,000 and with 14,000 entries, "membership_bench sockets" runs 48
/// peers tasks.
int main(int count, char **arguments)
{
    FLAGS_minloglevel = google::GLOG_ERROR;
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    const char *mode = count > 1 ? arguments[1] : "48";
    if (std::strcmp(mode, "sockets") == 0) {
        guavafront::measureSockets(48, std::chrono::seconds(30));
    } else if (std::strcmp(mode, "entries") == 0) {
        guavafront::measureEntries(12, 2'000);
        guavafront::measureEntries(12, 14'000);
    } else {
        constexpr int decimal = 10;
        guavafront::measureSize(std::strtoul(mode, nullptr, decimal), true);
    }
    return 0;
}
