#pragma once

#include "runtime/timer.h"
#include "storage/replica_store.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/replication/replica.h>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace guavafront
{

/// What a replica tells its owner.
struct replica_host_callbacks {
    std::function<void(const replication_message &)> send; ///< To another control VM.
    std::function<void(const log_record &)> apply; ///< A committed record.
    std::function<void(const log_snapshot &)> load; ///< Replace the state machine's state.
    std::function<std::vector<std::byte>()> encodeState; ///< The state machine's state.
    std::function<void(const proposal_appended &)> appended; ///< A proposal is in the log.
    std::function<void(const proposal_refused &)> refused; ///< A proposal isn't.
    std::function<void(const role_changed &)> roleChanged; ///< Role or leader.
    std::function<void()> flushed; ///< All effects of a batch are done.
    std::function<void()> failed; ///< The store failed: what was proposed and not applied has no known outcome.
};

/// Runs one replica on its store and the loop's clock. The events of one turn of the loop share one sync. When the
/// store fails, the replica falls silent and refuses proposals; after a pause the error leaves through the loop, so
/// that the task fails and its next life reads the disk anew.
class replica_host
{
public:
    /// Opens the folder's store. Throws coordination_error as replica_store does.
    replica_host(loop &owner, const std::string &folder, vm_id freshIdentity, replica_options options,
                 replica_host_callbacks callbacks);

    /// Steps the replica; its effects follow at the end of the loop's turn.
    void post(const replica_event &event);

    /// The replica.
    const replica &state() const;

private:
    void flush();
    void performBatch(std::vector<replica_effect> effects);
    void perform(const replica_effect &effect);
    void armTimer();
    void fail(const coordination_error &error);
    void handleDeadline();
    void refuseProposal(const replica_event &event) const;

    replica_store m_store; ///< The disk.
    replica_host_callbacks m_callbacks; ///< The owner's.
    std::mt19937_64 m_random; ///< Seeded from the system.
    replica m_replica; ///< The decision's state.
    std::vector<replica_effect> m_effects; ///< Of the steps since the last flush.
    std::optional<coordination_error> m_failure; ///< The store's.
    timer m_flush; ///< Runs at the end of the loop's turn.
    timer m_deadline; ///< The replica's next deadline.
};

} // namespace guavafront
