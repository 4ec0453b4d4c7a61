#pragma once

#include "daemon/peers/peers_message.h"
#include "daemon/peers/peers_options.h"
#include "runtime/mailbox.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace guavafront
{

/// Owns the links to other VMs and runs membership and spread over them. Turns bytes into events and effects into
/// bytes; the decisions are in coordination/membership and coordination/spread.
class peers_task
{
public:
    /// Listens, begins to join and takes messages from inbox. Throws coordination_error (SettingInvalid).
    peers_task(loop &owner, peers_task_options options, mailbox<peers_message> &inbox);
    peers_task(const peers_task &) = delete;
    peers_task &operator=(const peers_task &) = delete;

    /// Own identity with the address that peers reach.
    const peer_identity &self() const;

private:
    void dispatch(peers_message message);
    void handle(const send_to_vm &message);
    void handle(const send_to_seeds &message);
    void handle(const send_to_linked &message);
    void handle(const send_to_roles &message);
    void handle(const spread_publish &message);
    void handle(const spread_withdraw &message);
    void handle(const issue_beacon &message);
    void handle(const send_to_hubs &message);
    void handle(const pass_on &message);
    void handle(const resend_state &message);
    void rememberSeed(const peer_identity &peer);
    void sendTo(vm_id to, const envelope &message);
    void receive(const peer_identity &from, envelope message);
    void receiveMembership(vm_id from, const envelope &message);
    void stepMembership(const membership_event &event, const std::optional<beacon> &freshness = {});
    void apply(const membership_effect &effect, const std::optional<beacon> &freshness);
    void transmit(const send_membership &effect);
    void stepSpread(const spread_event &event);
    void apply(const spread_effect &effect);
    void followMember(const member_record &record);
    void followTargets();
    void tick();
    void publishView(bool always);
    void publishFreshness();
    void publishStatistics();
    void publishEntry(const spread_entry &entry);
    void stop();

    loop &m_loop; ///< Not owned.
    peers_task_options m_options; ///< As constructed.
    std::unordered_map<std::string, vm_id> m_seedIds; ///< VM that last proved itself at a seed's address.
    random_source m_random; ///< Seeded from the system.
    link_table m_links; ///< Links to other VMs.
    fleet_membership m_membership; ///< Which VMs live.
    spread_table m_spread; ///< Small state of all VMs.
    beacon_state m_beacon; ///< Leader's freshness.
    beacon_state m_publishedBeacon; ///< As subscribers know it.
    double m_publishedShare = -1; ///< As subscribers know it.
    bool m_viewChanged = true; ///< Subscribers' view is old.
    std::uint64_t m_unclaimed = 0; ///< See peers_statistics.
    instant m_nextStatistics; ///< When to publish them.
    timer m_ticker; ///< Runs tick().
    timer m_stopDelay; ///< Lets the farewell leave before the loop stops.
    mailbox_attachment<peers_message> m_inbox; ///< Other tasks' messages.
};

} // namespace guavafront
