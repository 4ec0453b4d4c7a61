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

/// One simulated control VM: a replica, its state machine, and its disk, which may lose writes that weren't synced.
struct simulated_vm {
    replica state; ///< Replica; lost in a crash.
    change_log stateMachine; ///< State machine of the replicated log; lost in a crash.
    stored_state disk; ///< Synced state of the disk.
    std::deque<replica_effect> unsyncedWrites; ///< Writes since the latest sync, in order.
    std::deque<replica_effect> pendingEffects; ///< Effects that wait for the sync under way or for the thaw.
    std::deque<replica_event> deferredEvents; ///< Events that arrived while the VM was frozen.
    std::map<std::uint64_t, std::pair<std::uint64_t, term>> pendingProposals; ///< Proposals in the log: index -> ticket
                                                                              ///< and term.
    std::uint64_t incarnation = 0; ///< Goes up with each crash; callbacks of an earlier incarnation do nothing.
    bool up = true; ///< The VM runs or is frozen; false after a crash.
    bool frozen = false; ///< Events are queued instead of handled.
    duration syncTime{}; ///< Time that each sync takes; 0 for a random one.
    bool slowDisk = false; ///< Syncs take up to maxSlowSyncDelayUs instead of maxSyncDelayUs.
    bool syncing = false; ///< A sync is under way.
    instant busyUntil; ///< When the messages that have arrived are handled, with a messageTime.
    instant sendsUntil; ///< When the messages sent so far have left, with a sendRate.
    instant timerDue; ///< Time at which the armed timer fires; the epoch for none.
};

/// Control VMs on a simulated network and clock. The seed determines the whole run. A violated invariant throws
/// std::runtime_error.
class simulated_cluster
{
public:
    /// Callback for the answer to a proposal; the answer is none when the outcome is unknown.
    using answer_handler = std::function<void(std::uint64_t ticket, std::optional<change_answer>)>;

    /// Creates a cluster of one voter; the leader adds the other VMs as learners until vms VMs vote.
    simulated_cluster(std::uint64_t seed, std::size_t vms);
    /// Creates a cluster in which all founders vote from the start. VMs that are added later join only when an event
    /// for the leader says so. `self` of the options is set for each VM.
    simulated_cluster(std::uint64_t seed, std::size_t founders, const replica_options &options);

    /// Runs the scheduled actions up to the given simulated time.
    void runUntil(instant end);
    /// Runs until the condition holds. Throws, with what in the message, when it doesn't hold within the limit.
    void runUntilTrue(const std::function<bool()> &condition, duration limit, const std::string &what);
    /// Schedules an action after a delay of simulated time.
    void after(duration delay, std::function<void()> action);

    /// Hands a proposal to a VM, as an operator's request would.
    void propose(vm_id vm, const change_proposal &proposal, const answer_handler &answer);
    /// Hands an event to a VM if it runs.
    void post(vm_id vm, const replica_event &event);
    /// Starts a new VM with an empty disk. Returns its identity.
    vm_id addVm();
    /// Stops a VM. Of its writes since the latest sync only a random number of the first ones reach the disk.
    void crash(vm_id vm);
    /// Starts a crashed VM from the state on its disk.
    void start(vm_id vm);
    /// Crashes a VM permanently and starts a new one with an empty disk, which is proposed to the leader as its
    /// replacement. Returns the identity of the new VM.
    vm_id replaceVm(vm_id vm);
    /// Freezes a VM: its events are queued until the thaw.
    void freeze(vm_id vm);
    /// Thaws a frozen VM: it handles its queued events and goes on.
    void thaw(vm_id vm);

    /// Returns the running leader with the highest term; 0 for none.
    vm_id leader() const;
    /// Returns the VM of this identity.
    simulated_vm &at(vm_id vm);
    /// Returns the identities of all VMs that were not replaced.
    std::vector<vm_id> currentVms() const;
    /// Returns whether the cluster still grows, a replacement is under way, or there is no leader.
    bool isChangingMembers() const;
    /// Returns the simulated time.
    instant now() const;
    /// Returns a random number, uniform over 64 bits.
    std::uint64_t random();
    /// Returns a random number below the limit.
    std::uint64_t random(std::uint64_t limit);

    std::set<std::pair<vm_id, vm_id>> blockedLinks; ///< Pairs of sender and receiver whose messages are dropped.
    duration messageTime{}; ///< Time for which a message occupies its receiver; later ones wait.
    std::uint64_t sendRate = 0; ///< Bytes a second that a VM sends, to all others together; 0 for any number. Its
                                ///< messages leave one after the other, also those that a blocked link drops.
    std::uint64_t lossPercent = 0; ///< Share of messages that are lost, in percent.
    std::uint64_t duplicatePercent = 0; ///< Share of messages that arrive twice, in percent.
    std::function<void(vm_id, const replica_effect &)> onEffect; ///< Called before each effect is performed.
    std::function<void(vm_id)> onHandled; ///< Called after a VM has handled an event.

private:
    struct scheduled_action {
        instant due; ///< Simulated time at which the action runs.
        std::uint64_t order; ///< Order of actions that are due at the same time.
        std::function<void()> action; ///< Action to run.
    };
    struct runs_later {
        bool operator()(const scheduled_action &left, const scheduled_action &right) const;
    };

    void handle(vm_id vm, const replica_event &event);
    void performAll(vm_id vm);
    void perform(vm_id vm, const replica_effect &effect);
    void beginSync(vm_id vm, std::uint64_t sequence);
    void send(const replication_message &message);
    void deliver(const replication_message &message);
    void apply(vm_id vm, const log_record &record);
    void handleRoleChange(vm_id vm, const role_changed &event);
    void answerProposal(vm_id vm, std::uint64_t ticket, const std::optional<change_answer> &answer);
    void failPendingProposals(vm_id vm);
    void armTimer(vm_id vm);
    void proposeLearners();
    void addVm(vm_id vm, const stored_state &disk);
    replica_options optionsFor(vm_id vm) const;

    std::mt19937_64 m_random; ///< Generator of all random numbers of the run.
    replica_options m_options; ///< Options of all replicas.
    instant m_now; ///< Simulated time.
    std::uint64_t m_order = 0; ///< Number of the last scheduled action.
    std::priority_queue<scheduled_action, std::vector<scheduled_action>, runs_later> m_scheduled; ///< Actions by
                                                                                                  ///< due time.
    std::map<vm_id, simulated_vm> m_vms; ///< All VMs, including crashed and replaced ones.
    std::map<vm_id, vm_id> m_replacements; ///< New VM -> VM that it replaces.
    std::map<term, vm_id> m_leadersByTerm; ///< Leader of each term.
    std::map<log_index, log_record> m_appliedRecords; ///< First record that any VM applied at each index.
    std::map<std::uint64_t, answer_handler> m_answers; ///< Callbacks of open proposals, by ticket.
    std::uint64_t m_lastTicket = 0; ///< Latest ticket in use.
    std::uint64_t m_lastVm = 0; ///< Latest VM identity in use.
};

} // namespace guavafront
