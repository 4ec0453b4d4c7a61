#include "wire/claims_codec.h"

#include <guavafront/coordination/claims/claims.h>

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavafront
{

namespace
{

constexpr std::uint64_t vmCount = 9;
constexpr std::uint64_t claimCount = 20'000;
constexpr std::size_t answerBytes = 256;
constexpr double perThousand = 1000.0 / claimCount;

/// Fleet of VMs with claims. Messages are encoded, counted, decoded and delivered in order, without a network.
struct measured_fleet {
    std::map<vm_id, claims> vms; ///< Claims of each VM.
    /// Undelivered messages: sender, receiver, encoded bytes.
    std::deque<std::pair<vm_id, std::pair<vm_id, std::vector<std::byte>>>> wire;
    std::uint64_t messages = 0; ///< Number of messages sent between VMs.
    std::uint64_t bytes = 0; ///< Total size of these messages in bytes.
    std::uint64_t won = 0; ///< Number of claims that were resolved; without faults and duplicates all of them are won.
    instant now{}; ///< Time passed to the claims; constant during the measurement.

    void handle(vm_id at, const claims_event &event)
    {
        std::vector<claimant_effect> effects;
        step(vms.at(at), event, now, effects);
        for (const claimant_effect &effect : effects) {
            if (const auto *message = std::get_if<send_claim_message>(&effect)) {
                std::vector<std::byte> encoded = encodeClaimMessage(message->message);
                ++messages;
                bytes += encoded.size();
                wire.emplace_back(at, std::pair(message->to, std::move(encoded)));
            } else {
                finish(at, std::get<claim_resolved>(effect));
            }
        }
    }

    void finish(vm_id at, const claim_resolved &resolved)
    {
        ++won;
        handle(at, end_claim{.id = resolved.id, .mayHaveRun = true, .answer = std::vector<std::byte>(answerBytes)});
    }

    void deliver()
    {
        while (!wire.empty()) {
            const auto [from, rest] = std::move(wire.front());
            wire.pop_front();
            handle(rest.first, claim_message_received{from, decodeClaimMessage(rest.second)});
        }
    }
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure()
{
    measured_fleet fleet;
    claims_view view{.epoch = {1}, .members = {}, .previous = {}};
    for (std::uint64_t id = 1; id <= vmCount; ++id) {
        view.members.push_back({.id = {id}, .life = id, .dataCentre = std::string(1, static_cast<char>('a' + id % 3))});
        fleet.vms.emplace(vm_id{id}, makeClaims({id}, id, {}, {}));
    }
    for (std::uint64_t id = 1; id <= vmCount; ++id) {
        fleet.handle({id}, claims_view_changed{view});
    }
    const std::size_t heapBefore = mallinfo2().uordblks;
    const double start = processorSeconds();
    for (std::uint64_t each = 0; each < claimCount; ++each) {
        const vm_id at{each % vmCount + 1};
        fleet.handle(at, start_claim{.id = {each},
                                     .key = makeClaimKey({static_cast<std::uint32_t>(each % 8)}, std::to_string(each)),
                                     .digest = {each, each},
                                     .deadline = fleet.now + std::chrono::seconds(10)});
        fleet.deliver();
    }
    const double seconds = processorSeconds() - start;
    const auto heap = static_cast<double>(mallinfo2().uordblks - heapBefore);
    std::printf("per 1,000 claims, all VMs together, answers of %zu bytes, %llu VMs:\n", answerBytes,
                static_cast<unsigned long long>(vmCount));
    std::printf("won %llu of %llu; messages %.0f; bytes %.0f; processor %.1f ms; memory %.0f bytes\n",
                static_cast<unsigned long long>(fleet.won), static_cast<unsigned long long>(claimCount),
                static_cast<double>(fleet.messages) * perThousand, static_cast<double>(fleet.bytes) * perThousand,
                seconds * 1000 * perThousand, heap * perThousand);
}

} // namespace

} // namespace guavafront

int main()
{
    guavafront::measure();
    return 0;
}
