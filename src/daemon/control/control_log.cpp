#include "daemon/control/control_log.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace guavafront
{

namespace
{

/// Minimum time between two lines about the same.
constexpr duration minLineInterval = std::chrono::seconds(2);
/// Time after which a wait for a place or for a leader is logged; joining takes less.
constexpr duration outsideLogDelay = std::chrono::seconds(5);
/// Interval at which an unchanged wait is logged again.
constexpr duration outsideLogInterval = std::chrono::seconds(60);

std::string hexOf(vm_id vm)
{
    std::ostringstream text;
    text << std::hex << vm.value;
    return text.str();
}

std::string secondsOf(duration time)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << std::chrono::duration<double>(time).count() << " s";
    return text.str();
}

std::string countOf(std::size_t count, std::string_view noun)
{
    return std::to_string(count) + " " + std::string(noun) + (count == 1 ? "" : "s");
}

/// Returns the identity of a VM and in parentheses, where there are any, its address, a mark and details.
std::string textOf(vm_id vm, const control_vms_view &view, std::string_view mark, std::string_view details)
{
    const auto known = view.addresses.find(vm);
    std::string notes = known == view.addresses.end() ? std::string() : known->second;
    if (!mark.empty()) {
        notes += std::string(notes.empty() ? "" : ", ") + std::string(mark);
    }
    if (!details.empty()) {
        notes += std::string(notes.empty() ? "" : "; ") + std::string(details);
    }
    return hexOf(vm) + (notes.empty() ? "" : " (" + notes + ")");
}

std::string namesOf(std::span<const vm_id> vms, const replica &self, const control_vms_view &view)
{
    std::string text;
    for (const vm_id vm : vms) {
        text += " " + describeVm(self, view, vm);
    }
    return text;
}

std::string quorumOf(const membership &members)
{
    std::string text = "quorum of " + std::to_string(quorumSize(members)) + " among voters";
    for (const member &each : members.members) {
        if (each.role == voting_role::Voter) {
            text += " " + hexOf(each.id);
        }
    }
    return text;
}

std::string_view liveMark(vm_id vm, const control_vms_view &view)
{
    return std::ranges::find(view.live, vm) == view.live.end() ? "" : "live";
}

std::string underWayText(const unconfirmed_data &underWay)
{
    if (underWay.bytes == 0) {
        return "nothing under way";
    }
    const std::string bytes = countOf(underWay.bytes, "byte");
    return (underWay.records == 0 ? bytes + " of a snapshot" : countOf(underWay.records, "record") + " of " + bytes)
           + " under way";
}

std::string reasonOf(const replica &self, const vote_refused &refused, const control_vms_view &view)
{
    std::ostringstream text;
    switch (refused.reason) {
    case vote_refusal::LeaderKnown:
        if (refused.preferred == self.options.self) {
            text << "this VM leads term " << refused.ownTerm.value;
        } else {
            text << "VM " << describeVm(self, view, refused.preferred) << " leads term " << refused.ownTerm.value
                 << ", heard " << secondsOf(refused.sinceLeader) << " ago";
        }
        break;
    case vote_refusal::TermNotHigher:
        text << "its term is too low (own " << refused.ownTerm.value << ")";
        break;
    case vote_refusal::LogBehind:
        text << "its log is behind (last " << refused.candidateLog.last.value << " in term "
             << refused.candidateLog.lastTerm.value << ", own " << refused.ownLog.last.value << " in term "
             << refused.ownLog.lastTerm.value << ")";
        break;
    case vote_refusal::VoteTaken:
        text << "the vote went to VM " << describeVm(self, view, refused.preferred);
        break;
    case vote_refusal::OtherCluster:
        text << (self.cluster.value == 0 ? "this VM has joined no cluster" : "it is of another cluster");
        break;
    }
    return text.str();
}

/// Returns whether a line of a kind is due, and if so, when the next one may follow.
bool takeTurn(instant &next, instant now)
{
    if (now < next) {
        return false;
    }
    next = now + minLineInterval;
    return true;
}

} // namespace

control_log startControlLog(instant now)
{
    control_log log;
    log.leaderKnownAt = now;
    return log;
}

duration timeWithoutLeader(const control_log &log, instant now)
{
    return log.leaderKnown ? duration(0) : now - log.leaderKnownAt;
}

std::string describeVm(const replica &self, const control_vms_view &view, vm_id vm)
{
    return textOf(vm, view, vm == self.options.self ? "this VM" : "", {});
}

std::optional<std::string> noteLeader(control_log &log, const replica &self, const control_vms_view &view, instant now)
{
    const duration absence = timeWithoutLeader(log, now);
    const bool wasKnown = std::exchange(log.leaderKnown, isCurrent(self, now));
    if (!log.leaderKnown) {
        return std::nullopt;
    }
    log.leaderKnownAt = self.role == replica_role::Leader ? now : self.lastLeaderContact;
    if (wasKnown) {
        return std::nullopt;
    }
    log.nextRoundLine = now; // The first round after the next loss of the leader is logged at once.
    return "VM " + describeVm(self, view, self.leader) + " leads term " + std::to_string(self.currentTerm.value)
           + "; no leader was known for " + secondsOf(absence);
}

std::optional<std::string> refusalLine(control_log &log, const replica &self, const vote_refused &refused,
                                       const control_vms_view &view, instant now)
{
    std::erase_if(log.nextRefusalLines, [now](const auto &each) { return each.second <= now; });
    if (!takeTurn(log.nextRefusalLines[{refused.candidate, refused.preVote, refused.reason}], now)) {
        return std::nullopt;
    }
    return std::string("refused ") + (refused.preVote ? "pre-vote" : "vote") + " of VM "
           + describeVm(self, view, refused.candidate) + " in term " + std::to_string(refused.inTerm.value) + ": "
           + reasonOf(self, refused, view);
}

std::optional<std::string> failedRoundLine(control_log &log, const replica &self, const election_failed &failed,
                                           const control_vms_view &view, instant now)
{
    if (!takeTurn(log.nextRoundLine, now)) {
        return std::nullopt;
    }
    std::string text = "no leader for " + secondsOf(timeWithoutLeader(log, now)) + " in term "
                       + std::to_string(failed.inTerm.value) + ": " + quorumOf(self.members) + "; "
                       + (failed.preVote ? "pre-vote" : "vote") + " granted by" + namesOf(failed.granted, self, view);
    if (!failed.refused.empty()) {
        text += "; refused by" + namesOf(failed.refused, self, view);
    }
    text += failed.silent.empty() ? "" : "; no answer from";
    for (const vm_id vm : failed.silent) {
        text += " " + textOf(vm, view, liveMark(vm, view), {});
    }
    return text;
}

std::string lostQuorumLine(const replica &self, const quorum_lost &lost, const control_vms_view &view,
                           std::size_t reads)
{
    std::string text = "gave up leading term " + std::to_string(lost.inTerm.value) + ": " + quorumOf(self.members)
                       + "; answered by" + namesOf(lost.answered, self, view);
    text += lost.silent.empty() ? "" : "; no answer from";
    for (const silent_voter &voter : lost.silent) {
        text += " "
                + textOf(voter.id, view, liveMark(voter.id, view),
                         secondsOf(voter.silence) + ", " + underWayText(voter.underWay));
    }
    return text + "; " + countOf(reads, "read") + " not confirmed";
}

std::string lostLeaderLine(const replica &self, const leader_lost &lost, const control_vms_view &view)
{
    return "lost the leader of term " + std::to_string(lost.inTerm.value) + ", VM "
           + describeVm(self, view, lost.leader) + ", heard " + secondsOf(lost.sinceLeader) + " ago";
}

std::string membersLine(const replica &self, const control_vms_view &view)
{
    std::string text = "quorum of " + std::to_string(quorumSize(self.members)) + " among";
    for (const member &each : self.members.members) {
        text += (each.role == voting_role::Voter ? " voter " : " learner ") + describeVm(self, view, each.id);
    }
    return text;
}

std::optional<std::string> unconfirmedReadsLine(control_log &log, const replica &self, const control_vms_view &view,
                                                std::size_t reads, duration limit, instant now)
{
    if (reads == 0 || !takeTurn(log.nextReadLine, now)) {
        return std::nullopt;
    }
    std::string text = countOf(reads, "read") + " not confirmed within " + secondsOf(limit) + " in term "
                       + std::to_string(self.currentTerm.value) + ": " + quorumOf(self.members);
    std::string silent;
    for (const peer_progress &peer : self.peers) {
        const duration silence = now - peer.lastContact;
        if (silence >= self.options.electionTimeout) {
            silent += " " + textOf(peer.id, view, {}, secondsOf(silence));
        }
    }
    text += silent.empty() ? "; all members answered lately" : "; no answer lately from" + silent;
    if (self.role == replica_role::Leader && self.commitIndex < self.termStartIndex) {
        text += "; record " + std::to_string(self.termStartIndex.value) + ", the first of the term, isn't committed";
    }
    return text;
}

std::optional<std::string> outsideLine(control_log &log, const replica &self, const control_vms_view &view, instant now)
{
    const bool isMember = findMember(self.members, self.options.self) != nullptr;
    const bool isOutside = !isMember || (!isVoter(self.members, self.options.self) && !log.leaderKnown);
    if (!isOutside) {
        log.outsideSince.reset();
        log.outsideLine.clear();
        return std::nullopt;
    }
    log.outsideSince = log.outsideSince.value_or(now);
    if (now - *log.outsideSince < outsideLogDelay) {
        return std::nullopt;
    }
    const std::string what =
        (log.leaderKnown ? "VM " + describeVm(self, view, self.leader) + " leads" : "no leader has spoken to it")
        + "; its log has " + countOf(self.members.members.size(), "member") + ", " + quorumOf(self.members)
        + "; live control VMs" + (view.live.empty() ? " none" : namesOf(view.live, self, view));
    const duration interval = what == log.outsideLine ? outsideLogInterval : minLineInterval;
    if (!log.outsideLine.empty() && now - log.outsideLoggedAt < interval) {
        return std::nullopt;
    }
    log.outsideLine = what;
    log.outsideLoggedAt = now;
    return (isMember ? "this VM is a learner without a leader for " : "this VM waits for a place for ")
           + secondsOf(now - *log.outsideSince) + ": " + what;
}

std::string_view refusalName(vote_refusal reason)
{
    switch (reason) {
    case vote_refusal::LeaderKnown:
        return "leader_known";
    case vote_refusal::TermNotHigher:
        return "term_not_higher";
    case vote_refusal::LogBehind:
        return "log_behind";
    case vote_refusal::VoteTaken:
        return "vote_taken";
    case vote_refusal::OtherCluster:
        break;
    }
    return "other_cluster";
}

} // namespace guavafront
