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

/// Faults that one schedule injects.
struct schedule_faults {
    std::uint32_t lossPercent = 0; ///< Share of messages that are lost.
    std::uint32_t duplicatePercent = 0; ///< Share of messages that are delivered twice.
    std::uint32_t maxDelayMs = 5; ///< Longest delay of a message. Delays are random, so messages overtake each other.
    std::uint32_t deaths = 0; ///< Number of VMs that die at random times, each replaced by a VM with a new id.
    /// Number of VMs that lose their claims state at random times and restart under the same id.
    std::uint32_t restarts = 0;
    /// Number of view changes at random times. Each VM learns of each one after a delay of its own.
    std::uint32_t viewChanges = 0;
    std::uint32_t viewDelayMs = 300; ///< Longest delay until a VM learns of a view change.
    std::uint32_t dropPercent = 10; ///< Share of live VMs that a new view wrongly leaves out.
    std::uint32_t pausePercent = 0; ///< Share of won claims whose request is sent only after 3/4 of its timeout.
};

/// Simulates the claims of a fleet over a faulty network in virtual time, driven by one seeded random source. Counts
/// the requests that ran under each key and the answers that the callers got.
class claims_schedule
{
public:
    claims_schedule(std::uint64_t seed, std::size_t vmCount, schedule_faults faults);

    /// Sends a request with the key to a random live VM after the delay.
    void submit(std::uint64_t key, std::uint64_t digest, duration delay);

    /// Schedules the faults at random times of the period and runs the simulation to its end.
    void run(duration period);

    /// Injects no further faults and gives the latest view to every VM.
    void heal();

    std::map<std::uint64_t, int> runs; ///< How often a request ran upstream, by key.
    std::map<std::uint64_t, std::uint64_t> ranDigest; ///< Digest of the latest request that ran, by key.
    std::map<std::uint64_t, int> replays; ///< Number of callers that got the first answer replayed, by key.
    std::map<std::uint64_t, std::vector<refusal>> refusals; ///< Refusals that callers got, by key.
    int wrongReplays = 0; ///< Number of replays that weren't the first answer for that key and digest.
    int falseNotRun = 0; ///< Number of requests refused as not run although they were sent upstream.

private:
    struct vm {
        claims state; ///< Claims of the VM.
        std::string dataCentre; ///< Data centre of the VM.
        bool alive = true; ///< False after its death; a dead VM handles no events.
        std::optional<instant> wake; ///< Time of the next scheduled wake-up; nothing when there is none.
    };
    struct request {
        std::uint64_t key; ///< Number from which the idempotency key is made.
        std::uint64_t digest; ///< Lower half of the request digest; equal requests have equal digests.
        vm_id at; ///< Entry VM that received the request.
        std::uint64_t life = 0; ///< Life of that VM's claims when the request arrived.
        bool sent = false; ///< Whether the request was sent upstream.
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
    /// Pending actions by due time, then by order of scheduling.
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_queue;
    instant m_now{};
    std::uint64_t m_order = 0;
    std::uint64_t m_lastVm = 0;
    std::uint64_t m_lastLife = 0;
    std::uint64_t m_lastExchange = 0;
};

} // namespace guavafront
