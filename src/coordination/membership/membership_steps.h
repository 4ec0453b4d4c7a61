#pragma once

#include <guavafront/coordination/membership/membership.h>

#include <span>

namespace guavafront
{

/// Applies a received record of this or another VM. When it changes what is known and passOn is set, it is queued for
/// the probe targets.
void applyUpdate(fleet_membership &state, const member_update &update, bool passOn, instant now,
                 std::vector<membership_effect> &effects);

/// Gives this VM's record a new incarnation and status and queues it for the probe targets.
void republishSelf(fleet_membership &state, std::uint32_t incarnation, member_status status);

/// Makes a VM a suspect because it didn't answer this one.
void accuse(fleet_membership &state, vm_id target, instant now, std::vector<membership_effect> &effects);

/// Declares those suspects dead that did not refute in time.
void expireSuspicions(fleet_membership &state, instant now, std::vector<membership_effect> &effects);

/// Share of the probe targets that answered lately, 0 to 1; 1 when there are no targets.
double answeringShare(const fleet_membership &state, instant now);

/// Computes again which VMs to probe and how many are alive and missing, if the member table has changed.
void refreshTargets(fleet_membership &state, instant now, random_source &random,
                    std::vector<membership_effect> &effects);

/// Sends the pings that are due, asks helpers for indirect probes and accuses VMs that did not answer.
void probeTargets(fleet_membership &state, instant now, random_source &random, std::vector<membership_effect> &effects);

/// Pings a random live VM with one of the roles, and a random one that is held dead.
void pingAnyWithRole(fleet_membership &state, std::uint8_t roles, instant now, random_source &random,
                     std::vector<membership_effect> &effects);

/// Drops unanswered pings and restarts the suspicion timeouts after this VM was stalled: that it saw no
/// answers and refutations meanwhile is no evidence against other VMs.
void resumeAfterStall(fleet_membership &state, instant now);

/// Answers a ping.
void receivePing(const fleet_membership &state, vm_id from, const membership_ping &ping,
                 std::vector<membership_effect> &effects);

/// Handles the answer to a ping, either an own one or one that this VM sent as a helper.
void receiveAck(fleet_membership &state, vm_id from, const membership_ack &ack, instant now,
                std::vector<membership_effect> &effects);

/// Pings a VM as a helper, on behalf of the sender of the request.
void receivePingRequest(fleet_membership &state, vm_id from, const membership_ping_request &request, instant now,
                        std::vector<membership_effect> &effects);

/// Sends queued records to the probe targets, as far as the allowance goes.
void sendPendingUpdates(fleet_membership &state, duration elapsed, std::vector<membership_effect> &effects);

/// Does the periodic work that is due: compares tables with one probe target, tries to reach dead VMs, seeds and the
/// book, removes old records.
void runMaintenance(fleet_membership &state, instant now, random_source &random,
                    std::vector<membership_effect> &effects);

/// Handles the first message of a comparison of tables: stores the sender's record and answers with a summary of the
/// buckets that differ.
void receiveDigest(fleet_membership &state, vm_id from, const membership_digest &message, instant now,
                   std::vector<membership_effect> &effects);

/// Handles the second message of a comparison: sends the records that the sender lacks and requests those that this VM
/// lacks.
void receiveSummary(const fleet_membership &state, vm_id from, const membership_summary &message,
                    std::vector<membership_effect> &effects);

/// Handles the third message of a comparison: sends the requested records.
void receiveRecordRequest(const fleet_membership &state, vm_id from, const membership_record_request &message,
                          std::vector<membership_effect> &effects);

} // namespace guavafront
