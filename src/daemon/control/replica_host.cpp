#include "daemon/control/replica_host.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <sodium.h>
#include <type_traits>
#include <utility>

namespace guavafront
{

namespace
{

/// Time between a failure of the store and the failure of the task, which limits how often the task is restarted.
constexpr duration storeFailureRestartDelay = std::chrono::seconds(5);
/// The same after a full disk, which is often full for a short time only. The task then fails once there is room.
constexpr duration diskFullRestartDelay = std::chrono::seconds(1);
/// Interval at which a full disk is checked for room again.
constexpr duration diskRoomCheckInterval = std::chrono::milliseconds(250);

/// Syncs from this time on are logged. Replicas answer nothing during a sync, so slow ones delay elections.
constexpr duration slowSync = std::chrono::milliseconds(200);

/// Time after which messages have their turn while the state machine has records left to apply; far below the time
/// between two heartbeats. At least one record is applied each time.
constexpr duration applySliceTime = std::chrono::milliseconds(20);

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

/// Returns the effect as a write to the store; nothing for other effects.
std::optional<storage_write> asWrite(const replica_effect &effect)
{
    return std::visit(
        [](const auto &value) -> std::optional<storage_write> {
            if constexpr (std::is_constructible_v<storage_write, decltype(value)>) {
                return storage_write(value);
            } else {
                return std::nullopt;
            }
        },
        effect);
}

} // namespace

replica_host::replica_host(loop &owner, const std::string &folder, vm_id freshIdentity, replica_options options,
                           replica_host_callbacks callbacks)
    : m_store(folder, freshIdentity)
    , m_callbacks(std::move(callbacks))
    , m_random(randomSeed())
    , m_flush(owner, [this] { flush(); })
    , m_applyTimer(owner, [this] { applySlice(); })
    , m_deadline(owner, [this] { handleDeadline(); })
{
    options.self = m_store.self();
    m_replica = restore(options, m_store.state(), loop::now(), m_random());
    m_callbacks.load(m_replica.log.snapshot);
    m_appliedIndex = m_replica.log.snapshot.index;
    armTimer();
}

void replica_host::post(const replica_event &event)
{
    if (m_failure) {
        refuseProposal(event);
        return;
    }
    if (m_effects.empty()) {
        m_flush.arm(duration(0));
    }
    step(m_replica, event, loop::now(), m_random(), m_effects);
    armTimer();
}

const replica &replica_host::state() const
{
    return m_replica;
}

bool replica_host::isUpToDate() const
{
    return m_appliedIndex >= m_replica.commitIndex;
}

void replica_host::flush()
{
    try {
        while (!m_effects.empty()) {
            performBatch(std::exchange(m_effects, {}));
        }
    } catch (const coordination_error &error) {
        fail(error);
        return;
    }
    applySlice();
}

/// Carries out effects on the state machine until the slice of time is used up.
void replica_host::applySlice()
{
    if (m_failure) {
        return;
    }
    const instant end = loop::now() + applySliceTime;
    try {
        bool hasTime = true;
        while (hasTime && !m_stateEffects.empty()) {
            const replica_effect next = std::move(m_stateEffects.front());
            m_stateEffects.pop_front();
            performOnState(next);
            hasTime = loop::now() < end;
        }
    } catch (const coordination_error &error) {
        fail(error);
        return;
    }
    m_callbacks.applied();
    if (!m_stateEffects.empty()) {
        m_applyTimer.arm(duration(0));
    } else if (isUpToDate()) { // Else flush() is due with records that were committed since.
        m_callbacks.flushed();
    }
}

void replica_host::performBatch(std::vector<replica_effect> effects)
{
    std::uint64_t sequence = 0;
    for (const replica_effect &effect : effects) {
        if (std::optional<storage_write> write = asWrite(effect)) {
            m_store.write(std::move(*write));
        } else if (const auto *sync = std::get_if<sync_writes>(&effect)) {
            sequence = sync->sequence;
        } else if (sequence == 0) {
            perform(effect);
        }
    }
    if (sequence == 0) {
        return;
    }
    const instant syncBegan = loop::now();
    m_store.sync();
    const duration syncTime = loop::now() - syncBegan;
    if (syncTime >= slowSync) {
        LOG(WARNING) << "control: a sync of the journal took "
                     << std::chrono::duration_cast<std::chrono::milliseconds>(syncTime).count() << " ms";
    }
    const auto firstSync = std::ranges::find_if(
        effects, [](const replica_effect &effect) { return std::holds_alternative<sync_writes>(effect); });
    std::for_each(firstSync, effects.end(), [this](const replica_effect &effect) { perform(effect); });
    step(m_replica, writes_synced{sequence}, loop::now(), m_random(), m_effects);
}

void replica_host::perform(const replica_effect &effect)
{
    if (const auto *send = std::get_if<send_message>(&effect)) {
        m_callbacks.send(send->message);
    } else if (std::holds_alternative<load_snapshot>(effect)) {
        m_stateEffects.clear(); // The snapshot holds the records that these apply.
        m_stateEffects.push_back(effect);
    } else if (std::holds_alternative<apply_record>(effect) || std::holds_alternative<take_snapshot>(effect)) {
        m_stateEffects.push_back(effect);
    } else if (const auto *appended = std::get_if<proposal_appended>(&effect)) {
        m_callbacks.appended(*appended);
    } else if (const auto *refused = std::get_if<proposal_refused>(&effect)) {
        m_callbacks.refused(*refused);
    } else if (const auto *role = std::get_if<role_changed>(&effect)) {
        m_callbacks.roleChanged(*role);
    } else if (const auto *refusedVote = std::get_if<vote_refused>(&effect)) {
        m_callbacks.voteRefused(*refusedVote);
    } else if (const auto *failed = std::get_if<election_failed>(&effect)) {
        m_callbacks.electionFailed(*failed);
    } else if (const auto *lost = std::get_if<quorum_lost>(&effect)) {
        m_callbacks.quorumLost(*lost);
    } else if (const auto *leader = std::get_if<leader_lost>(&effect)) {
        m_callbacks.leaderLost(*leader);
    }
}

void replica_host::performOnState(const replica_effect &effect)
{
    if (const auto *applied = std::get_if<apply_record>(&effect)) {
        m_callbacks.apply(applied->record);
        m_appliedIndex = applied->record.index;
    } else if (const auto *load = std::get_if<load_snapshot>(&effect)) {
        m_callbacks.load(load->snapshot);
        m_appliedIndex = load->snapshot.index;
    } else if (const auto *take = std::get_if<take_snapshot>(&effect)) {
        post(snapshot_taken{take->index, m_callbacks.encodeState()});
    }
}

void replica_host::armTimer()
{
    m_deadline.arm(std::max(duration(0), nextDeadline(m_replica) - loop::now()));
}

void replica_host::fail(const coordination_error &error)
{
    LOG(ERROR) << "control: the replica's store failed: " << describe(error.code()).name << ": " << error.what();
    m_failure = error;
    m_effects.clear();
    m_stateEffects.clear();
    m_callbacks.failed();
    m_deadline.arm(error.code() == result_code::StoreFull ? diskFullRestartDelay : storeFailureRestartDelay);
}

void replica_host::handleDeadline()
{
    if (!m_failure) {
        post(timer_fired{});
    } else if (m_failure->code() == result_code::StoreFull && !m_store.hasRoom()) {
        m_deadline.arm(diskRoomCheckInterval);
    } else {
        throw coordination_error(*m_failure);
    }
}

void replica_host::refuseProposal(const replica_event &event) const
{
    const auto reportRefusal = [this](std::uint64_t ticket) {
        m_callbacks.refused({ticket, m_failure->code(), {}});
    };
    if (const auto *proposed = std::get_if<command_proposed>(&event)) {
        reportRefusal(proposed->ticket);
    } else if (const auto *learner = std::get_if<learner_proposed>(&event)) {
        reportRefusal(learner->ticket);
    } else if (const auto *removal = std::get_if<removal_proposed>(&event)) {
        reportRefusal(removal->ticket);
    }
}

} // namespace guavafront
