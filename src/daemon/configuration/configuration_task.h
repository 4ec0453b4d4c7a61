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

/// Called with each configuration that comes into force on this VM; posts it into other tasks' mailboxes.
using configuration_subscriber = std::function<void(const std::shared_ptr<const configuration> &)>;

/// Settings and callbacks of the configuration task.
struct configuration_task_options {
    fleet_secret secret{}; ///< Key of the history digests and of snapshot seals.
    follower_options follower; ///< Intervals and limits of the follower.
    std::function<void(vm_id, envelope)> send; ///< Sends to another VM; the message may be lost.
    std::function<void(envelope)> sendToSeeds; ///< Sends to all configured seeds while no VM is known; may be empty.
    configuration_subscriber subscriber; ///< Called with each configuration that comes into force.
    std::function<void(envelope)> sendToControls; ///< Sends to the other live control VMs; the message may be lost.
    std::string vmName; ///< Name of this VM, shown to operators.
    vm_id self; ///< Identity of this VM.
    bool isControl = false; ///< This is a control VM, which collects other VMs' revision reports.
};

/// Keeps the newest accepted configuration on this VM: runs the configuration_follower, decodes the messages of other
/// VMs into its events and checks their digests.
class configuration_task
{
public:
    /// Starts at once to ask other VMs for a configuration.
    configuration_task(loop &owner, configuration_task_options options, mailbox<configuration_message> &inbox);

private:
    /// Encoded message with the deltas between two revisions.
    struct encoded_deltas {
        history_digest from{}; ///< Digest of the revision before the first delta.
        history_digest to{}; ///< Digest of the last delta.
        byte_buffer body; ///< Encoded message; empty if there is none.
    };

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

    configuration_task_options m_options; ///< Settings and callbacks.
    configuration_follower m_follower; ///< State of the protocol.
    std::mt19937_64 m_random; ///< Random numbers for the follower.
    std::vector<vm_id> m_learnedPeers; ///< VMs that sent messages here before m_membershipKnown, oldest first.
    bool m_membershipKnown = false; ///< At least one live_vms_changed has been handled.
    encoded_deltas m_encodedDeltas; ///< Deltas that were sent last; most VMs ask for the same.
    snapshot_part m_encodedSnapshot; ///< Configuration in force as one part; encoded when first requested.
    confirmation_host m_confirmations; ///< Sends and collects revision reports.
    timer m_timer; ///< Fires at the follower's next deadline.
    mailbox_attachment<configuration_message> m_attachment;
};

} // namespace guavafront
