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

/// Periods, timeouts and limits of the membership protocol.
struct membership_options {
    std::size_t ringCount = 4; ///< Number of VMs that each VM probes, and about the number that probe it.
    std::size_t helperCount = 3; ///< Number of helpers: VMs asked to ping a VM that didn't answer this one.
    duration probePeriod = std::chrono::seconds(1); ///< Time between two pings to one VM.
    duration joinPeriod = std::chrono::milliseconds(200); ///< Time between two tries to reach the seeds while no other
                                                          ///< VM is known, and between two pings to one VM during
                                                          ///< the join phase.
    duration joinPhaseDuration = std::chrono::seconds(3); ///< Time after the start in which VMs are pinged at
                                                          ///< joinPeriod.
    duration probeTimeout = std::chrono::milliseconds(400); ///< Time without an answer until helpers are asked.
    duration suspicionShortest = std::chrono::seconds(2); ///< Time a suspect has to refute when several VMs accuse it.
    duration suspicionLongest = std::chrono::seconds(6); ///< Time a suspect has to refute when one VM accuses it.
    duration syncPeriod = std::chrono::seconds(10); ///< Mean time between two comparisons of member tables with a peer.
    duration reconnectPeriod = std::chrono::seconds(5); ///< Mean time between two tries to reach a dead VM or a seed;
                                                        ///< longer in a large fleet.
    duration retention = std::chrono::minutes(90); ///< Time for which a dead VM stays in the table and may count as
                                                   ///< missing.
    std::size_t updatesPerMessage = 40; ///< Largest number of records in one gossip message.
    double updatesPerSecond = 16; ///< Average rate of records sent to each probe target.
    double updateBurst = 256; ///< Largest value of fleet_membership::updateAllowance, reached after a period without
                              ///< updates.
    std::size_t buckets = 64; ///< Number of buckets in the digest of the member table.
    std::size_t memberLimit = 10'000; ///< Largest number of other VMs in the member table.
};

/// A VM that this one probes.
struct probe_target {
    instant nextProbe; ///< Time of the next ping.
    std::uint64_t nonce = 0; ///< Nonce of the ping that is still unanswered; 0 when there is none.
    instant sentAt; ///< Time at which the last ping was sent.
    bool helpersAsked = false; ///< Whether helpers were asked to ping the VM as well since the last ping.
    instant lastAnswerAt; ///< Time of the last answer, direct or through a helper, or of becoming a target.
};

/// What this VM knows about another VM.
struct known_member {
    member_record record; ///< The record that overrides all others received so far.
    entry_hash hash = 0; ///< Hash of the record in the digest of the member table.
    instant statusSince; ///< Time at which this VM last stored a new record of the member.
    instant suspicionEnds; ///< Time at which a suspect is declared dead unless it refutes; unused for another status.
    std::vector<vm_id> accusers; ///< VMs that accuse a suspect; empty for another status.
};

/// A ping that this VM sent as a helper, on behalf of another VM.
struct relayed_ping {
    vm_id origin; ///< VM that asked for the ping.
    std::uint64_t originNonce = 0; ///< Nonce of that VM's request, for the answer to it.
    instant sentAt; ///< Time at which the ping was sent; old ones are dropped.
};

/// A ping beside the periodic ones; a missing answer accuses nobody.
struct extra_ping {
    vm_id target; ///< VM that was pinged.
    instant sentAt; ///< Time at which the ping was sent; old ones are dropped.
};

/// State of the failure detection and the list of VMs. Probes, indirect probes, suspicion and refutation by incarnation
/// follow SWIM (Das, Gupta, Motivala 2002). Timeouts that grow while this VM itself seems unhealthy, and shrink with
/// the number of independent accusers, follow Lifeguard (Dadgar, Phillips, Currey 2018). The VMs to probe are
/// neighbours in pseudo-random rings, as in Rapid (Suresh et al. 2018), so that each VM needs few links and keeps them
/// for long.
struct fleet_membership {
    membership_options options; ///< Periods, timeouts and limits.
    member_record self; ///< Record of this VM.
    entry_hash selfHash = 0; ///< Hash of this VM's record in the digest.
    std::vector<std::string> seeds; ///< Addresses ("IP:port") of the VMs through which to join the fleet.
    std::vector<std::string> book; ///< Addresses at which this VM saw others before it started.
    std::unordered_map<vm_id, known_member> members; ///< Other VMs, dead ones included.
    digest_index<vm_id> index; ///< Digest of all records, this VM's included.
    std::map<vm_id, probe_target> targets; ///< VMs that this one probes and sends updates to.
    std::set<vm_id> suspects; ///< Ids of the members with status Suspect.
    std::map<vm_id, vm_id> pendingUpdates; ///< Ids of the VMs whose records are to be sent to the targets, each with
                                           ///< the accuser to name (0 for none).
    double updateAllowance = 0; ///< Number of records that may be sent to each target now.
    std::map<std::uint64_t, relayed_ping> relayed; ///< Pings sent as a helper, by the nonce of this VM's ping.
    std::map<std::uint64_t, extra_ping> extraPings; ///< Unanswered pings sent for membership_ping_wanted, by nonce.
    std::uint32_t localHealthMultiplier = 0; ///< Lifeguard's local health multiplier: probe timeouts are multiplied by
                                             ///< it plus 1; 0 when this VM seems healthy.
    std::uint64_t lastNonce = 0; ///< Nonce of the last ping sent.
    std::size_t missingCount = 0; ///< Number of dead VMs whose address no live VM has.
    std::size_t aliveCount = 1; ///< Number of VMs that are alive or suspect, this one included.
    bool targetsOutdated = true; ///< Whether targets, missingCount and aliveCount must be computed again.
    std::optional<instant> startedAt; ///< Time of the first tick; empty before it.
    std::optional<instant> lastTick; ///< Time of the last tick; a long gap shows that this VM was stalled.
    instant nextSync; ///< Time of the next comparison of member tables.
    instant nextReconnect; ///< Time of the next try to reach a dead VM or a seed.
    instant nextBookTry; ///< Time of the next tries to reach the addresses in the book.
};

/// Event: time has passed. To be sent several times in a probe period.
struct membership_tick {
};

/// Event: a message arrived over an authenticated link.
struct membership_received {
    vm_id from; ///< Sender, as authenticated by the link.
    membership_message message; ///< The decoded message.
};

/// Event: this VM leaves the fleet for good.
struct membership_leave {
};

/// Event: an answer of a VM with one of the roles is wanted now, for what it carries. A random live one is pinged, and
/// a random one of those that are held dead, since it may be this VM that was cut off.
struct membership_ping_wanted {
    std::uint8_t roles = 0; ///< Any of these roles will do.
};

/// Any event that step() handles.
using membership_event = std::variant<membership_tick, membership_received, membership_leave, membership_ping_wanted>;

/// Effect: the caller is to send a message.
struct send_membership {
    vm_id to; ///< Receiver; 0 for whichever VM answers at the address.
    std::string address; ///< "IP:port" of the receiver; may be empty when a link to it exists.
    membership_message message; ///< The message to send.
};

/// Effect: a VM answered a ping of this VM. The contents of the answer were written after sentAt.
struct probe_answered {
    vm_id from; ///< VM that answered directly, not through a helper.
    instant sentAt; ///< Time at which the ping was sent.
};

/// Effect: this VM stored a new record of another VM.
struct member_changed {
    member_record record; ///< The new record.
};

/// Effect: the record of a VM that is dead or has left was removed after the retention time.
struct member_forgotten {
    vm_id id; ///< VM whose record was removed.
};

/// Effect: the set of VMs that this one probes changed.
struct targets_changed {
};

/// Any effect of a step, for the caller to carry out or pass on.
using membership_effect =
    std::variant<send_membership, probe_answered, member_changed, member_forgotten, targets_changed>;

/// Membership of a VM that knows no other VM yet. The book holds the addresses at which it saw others before it
/// started.
fleet_membership makeMembership(member_record self, std::vector<std::string> seeds, const membership_options &options,
                                std::vector<std::string> book = {});

/// Handles one event and appends its effects to the list.
void step(fleet_membership &state, const membership_event &event, instant now, random_source &random,
          std::vector<membership_effect> &effects);

/// Whether a VM is known as alive or suspect.
bool isLive(const fleet_membership &state, vm_id id);

/// Record of a VM, this one included; null when unknown.
const member_record *findMember(const fleet_membership &state, vm_id id);

/// Records of VMs that are alive or suspect, this one included, ordered by id.
std::vector<member_record> liveMembers(const fleet_membership &state);

/// Records of dead VMs whose address no live VM has, ordered by id. These VMs may still run, unreachable from here; a
/// dead VM whose address a live one has was restarted.
std::vector<member_record> missingMembers(const fleet_membership &state);

/// Estimate of the share of the fleet that this VM can reach, 0 to 1: the share of its probe targets that answered
/// lately, multiplied by the number of live VMs over that of live and missing VMs. Near 0 when this VM alone is cut off
/// from the network; 1 when it knows no other VM.
double aliveShare(const fleet_membership &state, instant now);

/// Hash of the ids of all live VMs: equal on two VMs when both have the same live VMs in their tables.
std::uint64_t viewFingerprint(const fleet_membership &state);

} // namespace guavafront
