#pragma once

#include <guavafront/coordination/core/random.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/membership/membership_message.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace guavafront
{

/// Times and sizes of the membership.
struct membership_options {
    std::size_t ringCount = 4; ///< VMs that each VM probes, and that probe it.
    std::size_t helperCount = 3; ///< VMs asked to ping one that didn't answer.
    duration probePeriod = std::chrono::seconds(1); ///< Between two pings to one VM.
    duration joinPeriod = std::chrono::milliseconds(200); ///< Between two tries to reach the seeds while alone, and
                                                          ///< between two pings to one VM soon after the start.
    duration joinPhaseDuration =
        std::chrono::seconds(3); ///< How long after the start the fleet is asked at joinPeriod.
    duration probeTimeout = std::chrono::milliseconds(400); ///< Until the helpers are asked.
    duration suspicionShortest = std::chrono::seconds(2); ///< Time to refute when several VMs accuse.
    duration suspicionLongest = std::chrono::seconds(6); ///< Time to refute when one VM accuses.
    duration syncPeriod = std::chrono::seconds(10); ///< Between two comparisons of tables.
    duration reconnectPeriod = std::chrono::seconds(5); ///< Between two tries to reach a dead VM or a seed.
    duration retention = std::chrono::minutes(90); ///< A dead VM is remembered, and counts as missing, this long.
    std::size_t updatesPerMessage = 40; ///< Records in one gossip message.
    double updatesPerSecond = 16; ///< Records passed on to each target in the long run.
    double updateBurst = 256; ///< Records passed on at once after a quiet time.
    std::size_t buckets = 64; ///< Of the table's digest.
    std::size_t memberLimit = 10'000; ///< Records held at most.
};

/// A VM that this one probes.
struct probe_target {
    instant nextProbe; ///< When to ping next.
    std::uint64_t nonce = 0; ///< Of the ping without an answer; 0 when none.
    instant sentAt; ///< Of that ping.
    bool helpersAsked = false; ///< For that ping.
    instant lastAnswerAt; ///< Last answer, direct or through a helper; at first, when it became a target.
};

/// What this VM knows of another one.
struct known_member {
    member_record record; ///< Newest news.
    entry_hash hash = 0; ///< Its entry in the digest.
    instant statusSince; ///< When its status last changed here.
    instant suspicionEnds; ///< While it is a suspect.
    std::vector<vm_id> accusers; ///< While it is a suspect.
};

/// A ping on behalf of another VM.
struct relayed_ping {
    vm_id origin; ///< Who asked.
    std::uint64_t originNonce = 0; ///< What to answer.
    instant sentAt; ///< Dropped when too old.
};

/// Failure detection and list of VMs. Probes, indirect probes, suspicion and refutation by incarnation follow SWIM
/// (Das, Gupta, Motivala 2002); timeouts that grow with this VM's own trouble and shrink with independent accusers
/// follow Lifeguard (Dadgar, Phillips, Currey 2018); the VMs to probe are neighbours in pseudo-random rings, as in
/// Rapid (Suresh et al. 2018), so that links are few and last.
struct fleet_membership {
    membership_options options; ///< As constructed.
    member_record self; ///< This VM.
    entry_hash selfHash = 0; ///< Its entry in the digest.
    std::vector<std::string> seeds; ///< "IP:port" to join by.
    std::unordered_map<vm_id, known_member> members; ///< Other VMs, dead ones included.
    digest_index<vm_id> index; ///< All records, this VM's included.
    std::map<vm_id, probe_target> targets; ///< VMs that this one probes.
    std::set<vm_id> suspects; ///< Members with status Suspect.
    std::map<vm_id, vm_id> pendingUpdates; ///< Records to pass on at the next tick, with the accuser.
    double updateAllowance = 0; ///< Records that may be passed on now.
    std::map<std::uint64_t, relayed_ping> relayed; ///< By the nonce that this VM sent.
    std::uint32_t localHealthMultiplier = 0; ///< Lifeguard's local health: 0 is well; multiplies timeouts.
    std::uint64_t lastNonce = 0; ///< Of the last ping sent.
    std::size_t missingCount = 0; ///< Dead VMs whose address no live one has.
    std::size_t aliveCount = 1; ///< VMs alive or suspect, this one included.
    bool targetsOutdated = true; ///< Targets and counts must be worked out again.
    std::optional<instant> startedAt; ///< First tick.
    std::optional<instant> lastTick; ///< To notice that the VM stood still.
    instant nextSync; ///< When to compare tables.
    instant nextReconnect; ///< When to try a dead VM or a seed.
};

/// Time passes; to be called several times in a probe period.
struct membership_tick {
};

/// A message came over a proved link.
struct membership_received {
    vm_id from; ///< Proved by the link.
    membership_message message; ///< Decoded.
};

/// This VM stops for good.
struct membership_leave {
};

/// Anything that the membership reacts to.
using membership_event = std::variant<membership_tick, membership_received, membership_leave>;

/// Send a message.
struct send_membership {
    vm_id to; ///< 0: whichever VM answers at the address.
    std::string address; ///< "IP:port"; may be empty when a link stands.
    membership_message message; ///< What to send.
};

/// A VM answered a ping that was sent at the given time; what the answer carries is newer than that.
struct probe_answered {
    vm_id from; ///< Who answered, directly.
    instant sentAt; ///< When the ping left.
};

/// A VM's status or record changed here.
struct member_changed {
    member_record record; ///< The new one.
};

/// A dead VM was forgotten.
struct member_forgotten {
    vm_id id; ///< Which one.
};

/// The VMs that this one probes changed.
struct targets_changed {
};

/// Anything that the caller does or passes on.
using membership_effect =
    std::variant<send_membership, probe_answered, member_changed, member_forgotten, targets_changed>;

/// Membership that knows only itself.
fleet_membership makeMembership(member_record self, std::vector<std::string> seeds, const membership_options &options);

/// Reacts to one event; appends what is to be done.
void step(fleet_membership &state, const membership_event &event, instant now, random_source &random,
          std::vector<membership_effect> &effects);

/// Whether news of a VM holds it alive or suspect.
bool isLive(const fleet_membership &state, vm_id id);

/// Record of a VM, this one included; null when unknown.
const member_record *findMember(const fleet_membership &state, vm_id id);

/// Records of VMs that are alive or suspect, this one included, ordered by id.
std::vector<member_record> liveMembers(const fleet_membership &state);

/// Records of dead VMs whose address no live one has, ordered by id: they may be cut off and still run.
std::vector<member_record> missingMembers(const fleet_membership &state);

/// Share of the fleet that this VM hears, 0 to 1: of the VMs it probes, those that answered lately, times the live
/// VMs over the live and the missing ones. Near 0: this VM is cut off alone. 1 for a VM that knows no other.
double aliveShare(const fleet_membership &state, instant now);

/// Hash of the live VMs' identifiers: equal on two VMs exactly when their views are.
std::uint64_t viewFingerprint(const fleet_membership &state);

} // namespace guavafront
