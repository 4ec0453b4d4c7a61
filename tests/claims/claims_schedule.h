#pragma once

#include <guavafront/coordination/claims/claims.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace guavafront
{

/// Faults of one schedule.
struct schedule_faults {
    std::uint32_t lossPercent = 0; ///< Messages that are lost.
    std::uint32_t duplicatePercent = 0; ///< Messages that arrive twice.
    std::uint32_t maxDelayMs = 5; ///< Longest way of a message; shorter ones overtake.
    std::uint32_t deaths = 0; ///< VMs that die and come back as new ones, at random times.
    std::uint32_t restarts = 0; ///< VMs whose claims begin another life under the same identity.
    std::uint32_t viewChanges = 0; ///< Changes of view at random times, each known to each VM after its own delay.
    std::uint32_t viewDelayMs = 300; ///< Longest time until a VM knows a view.
    std::uint32_t dropPercent = 10; ///< Living VMs that a view leaves out.
    std::uint32_t pausePercent = 0; ///< Claims that stand still for long between winning and sending.
};

/// A fleet of claims over a scripted network, driven by one seeded random source. It counts what ran under each key and
/// what the callers heard.
class claims_schedule
{
public:
    claims_schedule(std::uint64_t seed, std::size_t vmCount, schedule_faults faults);

    /// A caller sends a request with the key to a random VM after delay.
    void submit(std::uint64_t key, std::uint64_t digest, duration delay);

    /// Spreads the faults over the period and runs to its end.
    void run(duration period);

    /// From now on nothing fails.
    void heal();

    std::map<std::uint64_t, int> runs; ///< Times that the request of a key ran.
    std::map<std::uint64_t, std::uint64_t> ranDigest; ///< Digest of the request that ran.
    std::map<std::uint64_t, int> replays; ///< Callers that heard the first answer again.
    std::map<std::uint64_t, std::vector<refusal>> refusals; ///< What other callers heard.
    int wrongReplays = 0; ///< Answers that weren't the first one to that key and digest.
    int falseNotRun = 0; ///< Callers told "not run" by a VM that had sent their own request.

private:
    struct vm {
        claims state; ///< Both sides.
        std::string dataCentre; ///< Where it stands.
        bool alive = true; ///< Takes part.
        std::optional<instant> wake; ///< When it wakes next.
    };
    struct request {
        std::uint64_t key; ///< Its key.
        std::uint64_t digest; ///< What it asks for.
        vm_id at; ///< VM that has it.
        std::uint64_t life = 0; ///< Life of that VM's claims.
        bool sent = false; ///< It ran.
    };
    std::uint64_t draw(std::uint64_t limit);
    bool chance(std::uint32_t percent);
    void after(duration delay, std::function<void()> action);
    void handle(vm_id at, const claims_event &event);
    void send(vm_id from, const send_claim_message &effect);
    void resolve(const claim_resolved &resolved);
    void sendUpstream(exchange_id id);
    void endUpstream(exchange_id id);
    void wake(vm_id at);
    void killOne();
    void restartOne();
    void changeView();
    vm_id addVm();
    std::vector<vm_id> living() const;

    std::mt19937_64 m_random;
    schedule_faults m_faults;
    std::map<vm_id, vm> m_vms;
    claims_view m_view;
    std::map<exchange_id, request> m_requests;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_queue; ///< By due time, ties by order.
    instant m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_lastVm = 0;
    std::uint64_t m_lastLife = 0;
    std::uint64_t m_lastExchange = 0;
};

} // namespace guavafront
