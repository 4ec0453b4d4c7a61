#pragma once

#include "daemon/configuration/configuration_message.h"
#include "daemon/configuration/confirmation_host.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"
#include "wire/follower_codec.h"
#include "wire/handshake.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace guavafront
{

/// Called with each revision that comes into force on this VM; posts it into other tasks' mailboxes.
using configuration_subscriber = std::function<void(const std::shared_ptr<const configuration> &)>;

/// Settings and receivers of the configuration task.
struct configuration_task_options {
    fleet_secret secret{}; ///< Keys the digests of the history.
    follower_options follower; ///< Times and sizes.
    std::function<void(vm_id, envelope)> send; ///< Sends to another VM; may lose.
    std::function<void(envelope)> sendToSeeds; ///< Sends to the seeds of the settings while no VM is known.
    configuration_subscriber subscriber; ///< Told of each revision in force.
    std::function<void(envelope)> sendToControls; ///< Sends to the other live control VMs; may lose.
    std::string vmName; ///< Of this VM, for operators.
    vm_id self; ///< This VM.
    bool isControl = false; ///< This VM collects reports of revisions in force.
};

/// Keeps the configuration in force on this VM: hosts the follower, checks digests and turns bytes into its events.
class configuration_task
{
public:
    /// Starts to ask at once.
    configuration_task(loop &owner, configuration_task_options options, mailbox<configuration_message> &inbox);

private:
    void handle(const configuration_from_peer &message);
    void handle(const configuration_accepted &message);
    void handle(const configuration_requested &message) const;
    void handle(const accepted_revision_reported &message);
    void handle(const live_vms_changed &message);
    void handle(const configuration_applied &message);
    void handle(const confirmation_requested &message);

    void receive(vm_id from, const offer_message &message);
    void receive(vm_id from, const pull_message &message);
    void receive(vm_id from, const deltas_message &message);
    void receive(vm_id from, const snapshot_part &part);
    void receive(vm_id from, const revision_report &report);
    void receive(vm_id from, const report_request &message) const;

    void stepFollower(const follower_event &event);
    void perform(const send_offer &effect);
    void perform(const send_pull &effect);
    void perform(const send_deltas &effect);
    void perform(const send_snapshot_part &effect);
    void perform(const verify_snapshot &effect);
    void perform(const revision_in_force &effect);

    confirmation_host_options confirmationOptions();
    void tick();
    void addLearnedPeer(vm_id peer);
    bool hasValidDigest(const configuration_delta &delta) const;
    void send(vm_id to, const follower_message &message) const;

    configuration_task_options m_options; ///< As constructed.
    configuration_follower m_follower; ///< The decision's state.
    std::mt19937_64 m_random; ///< Seeded from the system.
    std::vector<vm_id> m_learnedPeers; ///< VMs that wrote to this one, while nothing better is known.
    bool m_membershipKnown = false; ///< live_vms_changed has come.
    snapshot_part m_encodedSnapshot; ///< The present configuration, encoded when first asked for.
    confirmation_host m_confirmations; ///< Reports to control VMs, and theirs of others.
    timer m_timer; ///< The follower's next deadline.
    mailbox_attachment<configuration_message> m_attachment; ///< To the inbox.
};

} // namespace guavafront
