#pragma once

#include "daemon/peers/peers_message.h"
#include "daemon/peers/peers_options.h"
#include "daemon/peers/work_times.h"
#include "runtime/mailbox.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace guavafront
{

/// Mailboxes of the peers task; not owned.
struct peers_inboxes {
    mailbox<peers_message> &requests; ///< Requests of other tasks.
    mailbox<peers_message> &urgent; ///< Requests that go before all other work, such as messages of the replicas.
};

/// Owns the links to other VMs and runs the membership protocol and the spread map over them. It decodes messages into
/// events and encodes effects into messages; the decisions are made in coordination/membership and coordination/spread.
class peers_task
{
public:
    /// Starts to listen and to join the fleet, and handles the requests that arrive in the inboxes. Throws
    /// coordination_error (SettingInvalid).
    peers_task(loop &owner, peers_task_options options, const peers_inboxes &inboxes);
    peers_task(const peers_task &) = delete;
    peers_task &operator=(const peers_task &) = delete;

    /// Returns the identity of this VM, with the address at which peers reach it.
    const peer_identity &self() const;

private:
    void dispatch(peers_message message);
    void handle(const send_to_vm &message);
    void handle(const send_to_vms &message);
    void handle(const send_to_seeds &message);
    void handle(const send_to_linked &message);
    void handle(const send_to_roles &message);
    void handle(const spread_publish &message);
    void handle(const spread_withdraw &message);
    void handle(const issue_beacon &message);
    void handle(const send_to_hubs &message);
    void handle(const resend_state &message);
    void recordSeedIdentity(const peer_identity &peer);
    void sendTo(vm_id to, const envelope &message);
    void receive(const peer_identity &from, envelope message);
    void receiveMembership(vm_id from, const envelope &message);
    void stepMembership(const membership_event &event, const std::optional<beacon> &freshness = {});
    void apply(const membership_effect &effect, const std::optional<beacon> &freshness);
    void transmit(const send_membership &effect);
    void stepSpread(const spread_event &event);
    void apply(const spread_effect &effect);
    void applyMemberChange(const member_record &record);
    void updateSpreadPeers();
    void tick();
    void noteStandstill(duration period);
    void logWork();
    void publishView(bool always);
    void publishFreshness();
    void publishStatistics();
    void publishEntry(const spread_entry &entry);
    void stop();

    loop &m_loop; ///< Loop that runs the task; not owned.
    peers_task_options m_options; ///< Settings and callbacks given to the constructor.
    std::unordered_map<std::string, vm_id> m_seedIds; ///< VM last authenticated at each seed's address.
    random_source m_random; ///< Random numbers for decisions, seeded from the system.
    link_table m_links; ///< Links to other VMs.
    fleet_membership m_membership; ///< State of the membership protocol.
    spread_table m_spread; ///< Spread map: the small entries that all VMs publish.
    beacon_state m_beacon; ///< Newest beacon of the control leader.
    beacon_state m_publishedBeacon; ///< Beacon that was last passed to the watchers.
    double m_publishedShare = -1; ///< Alive share last passed to the watchers; -1 before the first time.
    bool m_viewChanged = true; ///< The fleet view has changed since it was last passed to the watchers.
    std::uint64_t m_unhandledMessages = 0; ///< Counter for peers_statistics::unhandledMessages.
    instant m_tickDue; ///< Time at which tick() is due; the epoch before its first call.
    duration m_heldUp{}; ///< Counter for peers_statistics::heldUp.
    instant m_nextStatistics; ///< Time of the next publication of statistics.
    work_times m_work; ///< What this task spent its time on since the last logWork().
    bool m_wasLate = false; ///< The timer ran late since the last logWork().
    link_counters m_loggedLinks; ///< Counters of links at the last logWork().
    timer m_tickTimer; ///< Runs tick() every tickPeriod.
    timer m_stopDelay; ///< Stops the loop once the leave messages have had time to be sent.
    mailbox_attachment<peers_message> m_urgentInbox; ///< Delivers urgent requests to dispatch().
    mailbox_attachment<peers_message> m_inbox; ///< Delivers the other requests to dispatch().
};

} // namespace guavafront
