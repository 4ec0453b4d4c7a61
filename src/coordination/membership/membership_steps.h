#pragma once

#include <guavafront/coordination/membership/membership.h>

#include <span>

namespace guavafront
{

/// Takes a record of this or another VM; passOn floods it when it is news.
void applyUpdate(fleet_membership &state, const member_update &update, bool passOn, instant now,
                 std::vector<membership_effect> &effects);

/// Gives this VM's record a new incarnation or status and floods it.
void republishSelf(fleet_membership &state, std::uint32_t incarnation, member_status status);

/// Holds a VM under suspicion because this one got no answer.
void accuse(fleet_membership &state, vm_id target, instant now, std::vector<membership_effect> &effects);

/// Declares suspects dead that did not refute in time.
void expireSuspicions(fleet_membership &state, instant now, std::vector<membership_effect> &effects);

/// Share of the probed VMs that answered lately; 1 when there are none.
double answeringShare(const fleet_membership &state, instant now);

/// Works out anew which VMs to probe and how many are missing.
void refreshTargets(fleet_membership &state, instant now, random_source &random,
                    std::vector<membership_effect> &effects);

/// Sends due pings, asks helpers and accuses VMs that did not answer.
void probeTargets(fleet_membership &state, instant now, random_source &random, std::vector<membership_effect> &effects);

/// Forgets unanswered pings and suspicion times after this VM stood still.
void resumeAfterStall(fleet_membership &state, instant now);

/// Handles a ping, an answer and a ping request.
void receivePing(const fleet_membership &state, vm_id from, const membership_ping &ping,
                 std::vector<membership_effect> &effects);
void receiveAck(fleet_membership &state, vm_id from, const membership_ack &ack, instant now,
                std::vector<membership_effect> &effects); ///< See receivePing().
void receivePingRequest(fleet_membership &state, vm_id from, const membership_ping_request &request, instant now,
                        std::vector<membership_effect> &effects); ///< See receivePing().

/// Passes news on to the probed VMs, within the allowance.
void sendPendingUpdates(fleet_membership &state, duration elapsed, std::vector<membership_effect> &effects);

/// Compares tables with one VM, tries dead VMs and seeds, forgets old records.
void runMaintenance(fleet_membership &state, instant now, random_source &random,
                    std::vector<membership_effect> &effects);

/// Handles the three messages of a comparison.
void receiveDigest(fleet_membership &state, vm_id from, const membership_digest &message, instant now,
                   std::vector<membership_effect> &effects);
void receiveSummary(const fleet_membership &state, vm_id from, const membership_summary &message,
                    std::vector<membership_effect> &effects); ///< See receiveDigest().
void receiveRecordRequest(const fleet_membership &state, vm_id from, const membership_record_request &message,
                          std::vector<membership_effect> &effects); ///< See receiveDigest().

} // namespace guavafront
