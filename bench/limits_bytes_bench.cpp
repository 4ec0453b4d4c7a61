// Measures which of the limiter's messages use how many bytes, and how many a shorter encoding or batching would save.
// Runs in virtual time.
// Usage: limits_bytes_bench [SEED]
#include "limits/limiter_fleet.h"
#include "wire/cbor_fields.h"
#include "wire/envelope.h"
#include "wire/limits_codec.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <type_traits>
#include <unordered_set>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr instant warmUpEnd(8s);
constexpr duration measuredTime = 2s;
/// Headers of a message: WebSocket for a short masked message (RFC 6455), TCP with timestamps, and IPv4.
constexpr std::size_t frameBytes = 6 + 32 + 20;
constexpr std::array<duration, 2> batchWindows{5ms, 25ms};

/// Messages and bytes that were sent in one run.
struct traffic {
    std::uint64_t messages = 0; ///< Messages of all VMs.
    std::uint64_t shareMessages = 0; ///< Share requests and delegations among the messages.
    std::uint64_t shareBytes = 0; ///< Bytes of the share requests and delegations.
    std::uint64_t bytes = 0; ///< Bytes of all messages as encoded by the codec.
    std::uint64_t trimmed = 0; ///< Bytes without a nested body, trailing zeros and microseconds.
    std::vector<std::uint64_t> bytesOf; ///< Bytes by index of the sender.
    std::vector<std::uint64_t> messagesOf; ///< Messages by index of the sender.
    /// Frames sent if the messages to one VM within a batch window share a frame; one count for each window length.
    std::array<std::uint64_t, batchWindows.size()> frames{};
    /// Pairs of sender and receiver with a message in the current window.
    std::array<std::unordered_set<std::uint64_t>, batchWindows.size()> sentInWindow;
    std::array<std::int64_t, batchWindows.size()> currentWindow{}; ///< Number of the current window.
};

std::uint64_t thousandths(double tokens)
{
    return static_cast<std::uint64_t>(tokens * 1'000);
}

std::uint64_t milliseconds(duration span)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/// Returns an item without its trailing zeros.
nlohmann::json trim(std::vector<std::uint64_t> fields)
{
    while (!fields.empty() && fields.back() == 0) {
        fields.pop_back();
    }
    return fields;
}

nlohmann::json trimmedItem(const lease_request_item &item, std::uint64_t sequence)
{
    const std::uint64_t distance = item.appliedSequence == 0 ? 0 : sequence - item.appliedSequence;
    return trim({item.account.value, item.waiting, thousandths(item.demand), distance, thousandths(item.heldCapacity),
                 thousandths(item.level), thousandths(item.returnedTokens), thousandths(item.heldRate)});
}

nlohmann::json trimmedItem(const lease_grant_item &item, std::uint64_t /*sequence*/)
{
    return trim({item.account.value, milliseconds(item.lifetime), thousandths(item.capacity), thousandths(item.tokens),
                 thousandths(item.rate), milliseconds(item.retryAfter)});
}

nlohmann::json trimmedItem(const share_release_item &item)
{
    return trim({item.slot, milliseconds(item.usableAfter)});
}

/// Returns the size of a message, in bytes, without everything that can be left out. The receiver still gets all
/// values, with times to the millisecond.
template<class message_type>
std::size_t trimmedSize(const message_type &message)
{
    nlohmann::json encoded = {channel::Limits, 2, 0};
    if constexpr (requires { message.items; }) {
        encoded.push_back(message.sequence);
        for (const auto &item : message.items) {
            encoded.push_back(trimmedItem(item, message.sequence));
        }
    } else if constexpr (std::is_same_v<message_type, share_release>) {
        encoded.push_back(message.round);
        for (const share_release_item &item : message.slots) {
            encoded.push_back(trimmedItem(item));
        }
    } else {
        encoded.push_back(message.round);
        encoded.push_back(message.slots);
    }
    return encodeCbor(encoded).size();
}

void count(traffic &seen, std::size_t from, const limit_send &send, instant now)
{
    const std::size_t size = encodeEnvelope({.kind = channel::Limits, .body = encodeLimitMessage(send.message)}).size();
    ++seen.messages;
    ++seen.messagesOf[from];
    seen.bytes += size;
    seen.bytesOf[from] += size;
    seen.trimmed += std::visit([](const auto &message) { return trimmedSize(message); }, send.message);
    if (std::holds_alternative<share_request>(send.message) || std::holds_alternative<share_delegation>(send.message)
        || std::holds_alternative<share_release>(send.message)) {
        ++seen.shareMessages;
        seen.shareBytes += size;
    }
    for (std::size_t index = 0; index < batchWindows.size(); ++index) {
        const std::int64_t number = now.time_since_epoch() / batchWindows[index];
        if (number != seen.currentWindow[index]) {
            seen.sentInWindow[index].clear();
            seen.currentWindow[index] = number;
        }
        seen.frames[index] +=
            seen.sentInWindow[index].insert((std::uint64_t{from} << 32) | send.to.value).second ? 1 : 0;
    }
}

/// Size and load of one simulated fleet.
struct fleet_setup {
    std::uint32_t vms; ///< Number of entry VMs.
    std::uint32_t accounts; ///< Number of client accounts.
    std::uint32_t requestsPerSecond; ///< Requests per second over all VMs; half of the sum of the rate limits.
    limit_slot slots; ///< Number of slots.
    std::uint32_t vmsPerAccount; ///< Number of VMs at which an account's requests arrive.
};

void sendRequests(limiter_fleet &fleet, const fleet_setup &setup)
{
    constexpr std::size_t stride = 7'919; // A prime, so that the accounts' sets of VMs overlap only in part.
    const std::uint32_t requestsPerSecond = setup.requestsPerSecond;
    const auto interval = duration(1'000'000 / requestsPerSecond);
    for (instant when = warmUpEnd; when < warmUpEnd + measuredTime; when += 1ms) {
        for (std::uint32_t number = 0; number < requestsPerSecond / 1'000; ++number) {
            const account_id account{static_cast<std::uint32_t>(1 + fleet.randomIndex(setup.accounts))};
            const std::size_t vmIndex = (account.value * stride + fleet.randomIndex(setup.vmsPerAccount)) % setup.vms;
            fleet.schedule(when + number * interval, [&fleet, vmIndex, account] { fleet.request(vmIndex, account); });
        }
        fleet.runUntil(when + 1ms);
    }
}

void measure(const fleet_setup &setup, std::uint64_t seed)
{
    const double mean = static_cast<double>(setup.requestsPerSecond) / setup.accounts;
    limiter_fleet fleet(setup.vms, {.fleetSize = setup.vms, .slotCount = setup.slots},
                        {.defaults = {2 * mean, 4 * mean}}, seed);
    fleet.runUntil(warmUpEnd);
    traffic seen;
    seen.bytesOf.resize(setup.vms);
    seen.messagesOf.resize(setup.vms);
    fleet.onSend = [&](std::size_t from, const limit_send &send) {
        count(seen, from, send, fleet.now);
    };
    sendRequests(fleet, setup);
    const double seconds = std::chrono::duration<double>(measuredTime).count();
    const double perVm = seconds * setup.vms;
    const auto busiest = static_cast<std::size_t>(std::ranges::max_element(seen.bytesOf) - seen.bytesOf.begin());
    const auto framed = [&](std::uint64_t bytes, std::uint64_t frames) {
        return static_cast<double>(bytes + frames * frameBytes) / perVm;
    };
    std::printf("| %u | %u | %u | %.1f | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %llu |\n",
                setup.vms, setup.slots, setup.vmsPerAccount, static_cast<double>(seen.messages) / perVm,
                static_cast<double>(seen.bytes) / perVm, static_cast<double>(seen.shareMessages) / perVm,
                static_cast<double>(seen.shareBytes) / perVm, static_cast<double>(seen.trimmed) / perVm,
                framed(seen.bytes, seen.messages), framed(seen.bytes, seen.frames[0]),
                framed(seen.bytes, seen.frames[1]), static_cast<double>(seen.bytesOf[busiest]) / seconds,
                static_cast<double>(seen.bytesOf[busiest] + seen.messagesOf[busiest] * frameBytes) / seconds,
                static_cast<unsigned long long>(fleet.refused));
    std::fflush(stdout);
}

} // namespace

} // namespace guavafront

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu; each second and VM unless said; framed: %zu bytes more a message\n",
                static_cast<unsigned long long>(seed), guavafront::frameBytes);
    std::printf("| VMs | slots | VMs of an account | messages | bytes | share messages | their bytes | bytes, trimmed "
                "form | framed bytes | "
                "framed, 5 ms together | framed, 25 ms together | busiest VM, bytes | busiest VM, framed bytes | "
                "refused |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    const guavafront::fleet_setup setups[] = {
        {48, 8, 12'000, 8, 48},
        {48, 8, 12'000, 32, 48},
        {1'200, 35'000, 320'000, 8, 1'200},
        {1'200, 35'000, 320'000, 32, 1'200},
        {1'200, 35'000, 320'000, 8, 24},
        {1'200, 35'000, 320'000, 8, 8},
        {1'200, 35'000, 320'000, 8, 3},
    };
    for (const guavafront::fleet_setup &setup : setups) {
        guavafront::measure(setup, seed);
    }
    return 0;
}
