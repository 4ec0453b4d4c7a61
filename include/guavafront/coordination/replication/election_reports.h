#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/replication/message.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavafront
{

/// Why a replica refuses a vote or pre-vote.
enum class vote_refusal : std::uint8_t {
    LeaderKnown, ///< A leader sent it a message within the election timeout, or it leads itself.
    TermNotHigher, ///< The term of a pre-vote request isn't above its own, or that of a vote request is below its own.
    LogBehind, ///< The candidate's log is less up to date than its own.
    VoteTaken, ///< It voted for another candidate in the term.
    OtherCluster, ///< The request comes from another cluster, or the replica has joined none. Nothing is answered.
};

/// Position of the last record of a log.
struct log_end {
    log_index last; ///< Index of the last record.
    term lastTerm; ///< Term of that record.
    bool operator==(const log_end &) const = default; ///< Memberwise equality.
};

/// Effect: tell the host that this replica refused a vote or pre-vote. The candidate isn't told the reason.
struct vote_refused {
    vote_refusal reason = vote_refusal::LeaderKnown; ///< First of the reasons that apply.
    bool preVote = false; ///< The request was for a pre-vote.
    vm_id candidate; ///< VM that asked for the vote.
    term inTerm; ///< Term of the request.
    term ownTerm; ///< Current term of this replica.
    log_end candidateLog; ///< End of the candidate's log.
    log_end ownLog; ///< End of this replica's log.
    vm_id preferred; ///< Known leader, or the candidate that has the vote; 0 for other reasons.
    duration sinceLeader{}; ///< Time since the known leader's latest message; 0 if it is this replica or the
                            ///< reason is another one.
};

/// Effect: tell the host that a vote or pre-vote of this replica ended at the election deadline without a majority.
struct election_failed {
    bool preVote = false; ///< The round was a pre-vote.
    term inTerm; ///< Current term of this replica; a pre-vote is for the term after it.
    duration waited{}; ///< Time that the other voters had for their answers.
    std::vector<vm_id> granted; ///< Voters that granted it, this replica included.
    std::vector<vm_id> refused; ///< Voters that refused it.
    std::vector<vm_id> silent; ///< Voters that didn't answer.
};

/// What a leader has sent to a member that hasn't confirmed it.
struct unconfirmed_data {
    std::size_t records = 0; ///< Number of records; 0 while the member is sent a snapshot.
    std::size_t bytes = 0; ///< Size of the records, estimated as for replica_options::maxMessageBytes, or of the
                           ///< snapshot's chunk.
    bool operator==(const unconfirmed_data &) const = default; ///< Memberwise equality.
};

/// A voter that hasn't answered its leader.
struct silent_voter {
    vm_id id; ///< Identity of the voter.
    duration silence{}; ///< Time since its latest answer, or since the leader was elected or the voter added.
    unconfirmed_data underWay; ///< What was sent to it and isn't confirmed.
    bool operator==(const silent_voter &) const = default; ///< Memberwise equality.
};

/// Effect: tell the host that this leader gives up the leadership, since no quorum answered within the election
/// timeout.
struct quorum_lost {
    term inTerm; ///< Term that the replica led.
    std::vector<vm_id> answered; ///< Voters that answered within the election timeout, this replica included.
    std::vector<silent_voter> silent; ///< Voters that didn't.
};

/// Effect: tell the host that this follower has lost its leader: the election deadline passed without a message of it,
/// and the replica asks for pre-votes.
struct leader_lost {
    vm_id leader; ///< Leader that was lost.
    term inTerm; ///< Term of that leader.
    duration sinceLeader{}; ///< Time since the leader's latest message.
    bool operator==(const leader_lost &) const = default; ///< Memberwise equality.
};

} // namespace guavafront
