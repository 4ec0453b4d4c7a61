#pragma once

#include "replication/simulated_cluster.h"

#include <guavafront/coordination/replication/absent_voters.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavafront
{

/// Links of a VM that are cut.
enum class cut_direction : std::uint8_t {
    Both, ///< The VM neither sends nor receives.
    Sending, ///< Nothing that the VM sends arrives.
    Receiving, ///< Nothing arrives at the VM.
};

/// Why a VM is away.
struct simulated_links {
    std::map<vm_id, cut_direction> cutOff; ///< VMs that are cut off from all others.
    std::set<vm_id> half; ///< One half of the VMs while they are split; the others are the other half.
    bool isSplit = false; ///< The VMs are split into two halves.
    bool detectorCrossesSplit = false; ///< VMs outside the split relay the probes of the failure detector, so that it
                                       ///< holds nobody dead for the split.
};

/// What a running control VM has learned of the others since its process started.
struct control_vm_knowledge {
    /// The failure detector's view of another VM.
    struct observation {
        bool live = false; ///< The detector considers the VM alive.
        bool reachable = false; ///< The VM answers at this time.
        instant due; ///< When `live` follows `reachable`.
    };
    std::uint64_t incarnation = 0; ///< Life of the process; knowledge of an earlier one is lost.
    std::map<vm_id, observation> others; ///< Views of other VMs.
    std::vector<vm_id> live; ///< VMs whose observation is live.
    std::unordered_map<vm_id, std::string> addresses; ///< Addresses of the VMs that were ever live in this life.
    instant lastProofAt; ///< Latest time for which this VM has proved its leadership.
    instant nextRemovalAt; ///< No member is removed before this time.
};

/// The control VMs of a fleet: a simulated cluster whose membership is driven as the control task drives it, by
/// vmToAdmit() and memberToRemove() after each proof of leadership, from a stand-in of the fleet's failure detector.
/// An invariant that doesn't hold throws std::runtime_error.
class simulated_fleet
{
public:
    /// Starts a cluster in which the given number of VMs vote, and of which so many disks may be lost at a time.
    simulated_fleet(std::uint64_t seed, std::size_t vms, std::size_t targetVoters, std::size_t toleratedDiskLosses);

    /// Starts a VM with an empty disk at an address. Returns its identity.
    vm_id addVm(const std::string &address);
    /// Returns the address of a VM.
    const std::string &addressOf(vm_id vm) const;
    /// Applies changed links.
    void setLinks(const simulated_links &links);
    /// Returns the links as set last.
    const simulated_links &links() const;
    /// Records that a revision was shown to an operator now. Later proofs of leadership must hold it.
    void recordShown(revision shown);
    /// Returns the leader, if it has proved its leadership within the last second; 0 for none.
    vm_id confirmedLeader();
    /// Returns whether all running VMs vote, follow the confirmed leader and are reachable by it.
    bool isWhole();
    /// Returns the highest revision that a read of the confirmed leader shows; 0 when there is none.
    revision confirmedRevision();

    simulated_cluster cluster; ///< The cluster.
    std::function<void(instant previous, instant now)> onConfirmed; ///< Called when a quorum confirms a leader anew,
                                                                    ///< with the time of the confirmation before and
                                                                    ///< of this one; may be empty.
    std::uint64_t removedWhileCutOff = 0; ///< Removals of members that ran, but were cut off or frozen.

private:
    void publishProof(vm_id vm);
    void manageMembers(vm_id vm);
    void detect();
    bool observe(vm_id observer, control_vm_knowledge &known, vm_id subject);
    bool canReach(vm_id observer, vm_id subject);
    control_vm_knowledge &knowledgeOf(vm_id vm);

    std::map<vm_id, std::string> m_addresses; ///< Address of each VM, gone ones included.
    std::map<vm_id, control_vm_knowledge> m_knowledge; ///< What each VM knows.
    std::vector<std::pair<instant, revision>> m_shown; ///< Highest revision shown, by time.
    simulated_links m_links; ///< Cuts in force.
    instant m_lastConfirmedAt; ///< Latest time for which a quorum has confirmed a leader.
    instant m_lastConfirmation; ///< When it did so.
};

} // namespace guavafront
