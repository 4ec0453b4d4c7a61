#pragma once

#include <guavafront/coordination/replication/absent_voters.h>
#include <guavafront/coordination/replication/replica.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace guavafront
{

/// A refusal, by what makes two of them the same in the log.
struct logged_refusal {
    vm_id candidate; ///< VM that asked for the vote.
    bool preVote = false; ///< It asked for a pre-vote.
    vote_refusal reason = vote_refusal::LeaderKnown; ///< Why it was refused.
    auto operator<=>(const logged_refusal &) const = default; ///< Orders by candidate.
};

/// What a control VM has noticed and logged of leaders and votes. The functions below return the lines to log, or
/// nothing where a line isn't due yet. Lines give the address of a VM, where it is known, in parentheses after its
/// identity.
struct control_log {
    instant leaderKnownAt; ///< Latest time at which a leader was known; the task's start before the first one.
    bool leaderKnown = false; ///< A leader was known at the latest call of noteLeader().
    instant nextRoundLine; ///< No failed round is logged before this time.
    instant nextReadLine; ///< No unconfirmed read is logged before this time.
    std::map<logged_refusal, instant> nextRefusalLines; ///< No such refusal is logged before this time.
    std::optional<instant> outsideSince; ///< Since when this VM waits for a place or, as a learner, for a leader.
    std::string outsideLine; ///< What was last logged of the wait, without its time.
    instant outsideLoggedAt; ///< When that was logged.
};

/// Returns the state of the log when the control task starts.
control_log startControlLog(instant now);

/// Returns for how long no leader has been known; 0 while one is.
duration timeWithoutLeader(const control_log &log, instant now);

/// Returns the identity of a VM with its address, if known, and a mark if it is this VM.
std::string describeVm(const replica &self, const control_vms_view &view, vm_id vm);

/// Notes whether a leader is known. Returns a line when one is known again.
std::optional<std::string> noteLeader(control_log &log, const replica &self, const control_vms_view &view, instant now);

/// Returns the line of a vote or pre-vote that this VM refused; the same refusal is logged once in 2 s at most.
std::optional<std::string> refusalLine(control_log &log, const replica &self, const vote_refused &refused,
                                       const control_vms_view &view, instant now);

/// Returns the line of a round that brought no majority: the first without a leader, then one in 2 s at most. Members
/// without an answer that are live are marked.
std::optional<std::string> failedRoundLine(control_log &log, const replica &self, const election_failed &failed,
                                           const control_vms_view &view, instant now);

/// Returns the line of a leader that lost its quorum while reads waited for a confirmation. Voters without an answer
/// have their silence and what is under way to them beside their marks.
std::string lostQuorumLine(const replica &self, const quorum_lost &lost, const control_vms_view &view,
                           std::size_t reads);

/// Returns the line of a follower that lost its leader.
std::string lostLeaderLine(const replica &self, const leader_lost &lost, const control_vms_view &view);

/// Returns the line of the members of the log.
std::string membersLine(const replica &self, const control_vms_view &view);

/// Returns the line of reads that a quorum didn't confirm within a limit, once in 2 s at most.
std::optional<std::string> unconfirmedReadsLine(control_log &log, const replica &self, const control_vms_view &view,
                                                std::size_t reads, duration limit, instant now);

/// Returns a line while this VM isn't a member, or is a learner without a leader: after 5 s, when what it says changes,
/// and otherwise once in 60 s.
std::optional<std::string> outsideLine(control_log &log, const replica &self, const control_vms_view &view,
                                       instant now);

/// Name of a reason in metrics; stable.
std::string_view refusalName(vote_refusal reason);

} // namespace guavafront
