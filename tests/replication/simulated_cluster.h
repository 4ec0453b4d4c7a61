#pragma once

#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/replication/replica.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavafront
{

/// One control VM of a simulation: a replica, its disk, which forgets what wasn't synced, and its state machine.
struct simulated_vm {
    replica state; ///< Lost in a crash.
    change_log stateMachine; ///< Lost in a crash.
    stored_state disk; ///< Synced.
    std::deque<replica_effect> unsyncedWrites; ///< Written, not synced.
    std::deque<replica_effect> pendingEffects; ///< Effects that wait for the sync under way.
    std::deque<replica_event> deferredEvents; ///< Events that arrived while frozen.
    std::map<std::uint64_t, std::pair<std::uint64_t, term>>
        pendingProposals; ///< Index -> ticket and term of the proposal.
    std::uint64_t incarnation = 0; ///< Goes up with each crash, so that old callbacks are void.
    bool up = true; ///< Runs, or is frozen.
    bool frozen = false; ///< Handles nothing for now.
    bool slowDisk = false; ///< Its syncs take long.
    bool syncing = false; ///< A sync is under way.
    instant timerDue; ///< When the armed timer fires; the epoch for none.
};

/// Control VMs on a simulated network and clock; everything follows from the seed. A broken promise throws.
class simulated_cluster
{
public:
    /// Called with the answer to a proposal; none when its outcome is unknown.
    using answer_handler = std::function<void(std::uint64_t ticket, std::optional<change_answer>)>;

    /// Cluster of one voter and the given number of learners that the leader takes in.
    simulated_cluster(std::uint64_t seed, std::size_t vms);

    /// Runs until the given simulated time.
    void runUntil(instant end);
    /// Runs until the condition holds; throws when it doesn't within the limit.
    void runUntilTrue(const std::function<bool()> &condition, duration limit, const std::string &what);
    /// Calls action after the delay.
    void after(duration delay, std::function<void()> action);

    /// Hands a proposal to a VM, as an operator's request would.
    void propose(vm_id vm, const change_proposal &proposal, const answer_handler &answer);
    /// Stops a VM; what it hasn't synced is lost but for a random first part.
    void crash(vm_id vm);
    /// Starts a VM that has crashed, from its disk.
    void start(vm_id vm);
    /// Crashes a VM for good and starts one with an empty disk, which the leader is asked to take in its place.
    vm_id replaceVm(vm_id vm);
    /// Stops a VM's handling of events; they wait.
    void freeze(vm_id vm);
    /// Lets a frozen VM go on.
    void thaw(vm_id vm);

    /// The leader with the highest term that is up; 0 for none.
    vm_id leader() const;
    /// The VM.
    simulated_vm &at(vm_id vm);
    /// Identities of all VMs that were not replaced.
    std::vector<vm_id> currentVms() const;
    /// Whether the cluster grows or a replacement is under way.
    bool isChangingMembers() const;
    /// The simulated time.
    instant now() const;
    /// A random number.
    std::uint64_t random();
    /// A random number below the limit.
    std::uint64_t random(std::uint64_t limit);

    std::set<std::pair<vm_id, vm_id>> blockedLinks; ///< From and to: nothing passes.
    std::uint64_t lossPercent = 0; ///< Messages that are lost.
    std::uint64_t duplicatePercent = 0; ///< Messages that arrive twice.
    std::function<void(vm_id, const replica_effect &)> onEffect; ///< Called before each effect is performed.

private:
    struct scheduled_action {
        instant due; ///< When.
        std::uint64_t order; ///< Ties are broken by it.
        std::function<void()> action; ///< What.
    };
    struct runs_later {
        bool operator()(const scheduled_action &left, const scheduled_action &right) const;
    };

    void handle(vm_id vm, const replica_event &event);
    void performAll(vm_id vm);
    void perform(vm_id vm, const replica_effect &effect);
    void beginSync(vm_id vm, std::uint64_t sequence);
    void deliver(const replication_message &message);
    void apply(vm_id vm, const log_record &record);
    void handleRoleChange(vm_id vm, const role_changed &event);
    void answerProposal(vm_id vm, std::uint64_t ticket, const std::optional<change_answer> &answer);
    void failPendingProposals(vm_id vm);
    void armTimer(vm_id vm);
    void proposeLearners();
    void addVm(vm_id vm, const stored_state &disk);
    replica_options optionsFor(vm_id vm) const;

    std::mt19937_64 m_random; ///< Source of everything random.
    std::size_t m_targetVoters; ///< Voters of the full cluster.
    instant m_now; ///< Simulated time.
    std::uint64_t m_order = 0; ///< Number of the last scheduled action.
    std::priority_queue<scheduled_action, std::vector<scheduled_action>, runs_later> m_scheduled; ///< What comes.
    std::map<vm_id, simulated_vm> m_vms; ///< All that were ever there.
    std::map<vm_id, vm_id> m_replacements; ///< New VM -> VM whose disk was lost.
    std::map<term, vm_id> m_leadersByTerm; ///< Who led each term.
    std::map<log_index, log_record> m_appliedRecords; ///< What was applied at each index.
    std::map<std::uint64_t, answer_handler> m_answers; ///< By ticket.
    std::uint64_t m_lastTicket = 0; ///< Last ticket given.
    std::uint64_t m_lastVm = 0; ///< Last identity given.
};

} // namespace guavafront
