#pragma once

#include "runtime/timer.h"
#include "storage/replica_store.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/replication/replica.h>

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace guavafront
{

/// Callbacks through which a replica_host reports to its owner, on the owner's thread.
struct replica_host_callbacks {
    std::function<void(const replication_message &)> send; ///< Sends a message to another control VM.
    std::function<void(const log_record &)> apply; ///< Applies a committed record to the state machine.
    std::function<void(const log_snapshot &)> load; ///< Replaces the state machine's state by a snapshot.
    std::function<std::vector<std::byte>()> encodeState; ///< Returns the encoded state of the state machine.
    std::function<void(const proposal_appended &)> appended; ///< A proposal was appended to the log.
    std::function<void(const proposal_refused &)> refused; ///< A proposal was refused and isn't in the log.
    std::function<void(const role_changed &)> roleChanged; ///< The replica's role or the known leader changed.
    std::function<void(const vote_refused &)> voteRefused; ///< The replica refused a vote or pre-vote.
    std::function<void(const election_failed &)> electionFailed; ///< The replica's vote or pre-vote failed.
    std::function<void(const quorum_lost &)> quorumLost; ///< The replica gave up its leadership.
    std::function<void(const leader_lost &)> leaderLost; ///< The replica lost the leader that it followed.
    std::function<void()> applied; ///< A slice of committed records was applied; more may be left.
    std::function<void()> flushed; ///< The state machine holds all records that the replica knows to be committed. Not
                                   ///< called while it lags behind.
    std::function<void()> failed; ///< The store failed; proposals that weren't applied have no known outcome.
};

/// Runs one replica on its store and the loop's clock. The events of one iteration of the loop share one sync of the
/// disk. The state machine follows in slices between which other messages are handled: after a start it may have much
/// to apply, and a replica that is silent meanwhile loses its leader or its leadership. When the store fails, the
/// replica stops handling events and refuses proposals. After a delay, and once a full disk has room again, the error
/// is thrown out of the loop, so that the task fails and reads the disk again when it is restarted.
class replica_host
{
public:
    /// Opens the store in the folder. Throws coordination_error if the store can't be opened or read.
    replica_host(loop &owner, const std::string &folder, vm_id freshIdentity, replica_options options,
                 replica_host_callbacks callbacks);

    /// Passes an event to the replica. Its effects are carried out at the end of the loop's iteration.
    void post(const replica_event &event);

    /// Present state of the replica.
    const replica &state() const;

    /// Returns whether the state machine holds all records that the replica knows to be committed.
    bool isUpToDate() const;

private:
    void flush();
    void performBatch(std::vector<replica_effect> effects);
    void perform(const replica_effect &effect);
    void performOnState(const replica_effect &effect);
    void applySlice();
    void armTimer();
    void fail(const coordination_error &error);
    void handleDeadline();
    void refuseProposal(const replica_event &event) const;

    replica_store m_store; ///< Log, snapshot and vote on the disk.
    replica_host_callbacks m_callbacks; ///< Callbacks of the owner.
    std::mt19937_64 m_random; ///< Random numbers for the replica.
    replica m_replica; ///< State of the replica.
    std::vector<replica_effect> m_effects; ///< Effects that haven't been carried out yet, in order.
    std::deque<replica_effect>
        m_stateEffects; ///< Effects on the state machine that haven't been carried out, in order.
    log_index m_appliedIndex; ///< Last record that the state machine holds.
    std::optional<coordination_error> m_failure; ///< Error of the store; absent while it works.
    timer m_flush; ///< Calls flush at the end of the loop's iteration.
    timer m_applyTimer; ///< Calls applySlice in the loop's next iteration.
    timer m_deadline; ///< Fires at the replica's next deadline or, after a failure, when the error is thrown.
};

} // namespace guavafront
