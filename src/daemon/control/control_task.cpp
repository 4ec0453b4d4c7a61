#include "daemon/control/control_task.h"

#include "wire/configuration_codec.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/replication/absent_voters.h>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Least time between two views, so that the homes of one have taken over before the next one.
constexpr duration claimsViewPause = std::chrono::seconds(2);
/// An operator waits a second for an answer.
constexpr duration readingLimit = std::chrono::milliseconds(800);

const char *nameOf(replica_role role)
{
    switch (role) {
    case replica_role::Follower:
        return "follower";
    case replica_role::PreCandidate:
        return "pre-candidate";
    case replica_role::Candidate:
        return "candidate";
    case replica_role::Leader:
        return "leader";
    }
    return "unknown";
}

} // namespace

control_task::control_task(loop &owner, control_task_options options, mailbox<control_message> &inbox,
                           mailbox<configuration_message> &configurations)
    : m_options(std::move(options))
    , m_configurations(configurations)
    , m_accepted(std::make_shared<const configuration>())
    , m_readingLimit(owner, [this] { giveUpReadings(); })
    , m_host(owner, m_options.dataFolder, m_options.freshIdentity, m_options.replica, hostEvents())
    , m_attachment(inbox, owner, [this](const control_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
    publish(); // What a snapshot on the disk holds was committed.
}

void control_task::handle(const change_submitted &message)
{
    const change_proposal proposal = makeProposal(message.author, message.request);
    if (!isAuthorized(proposal.author, proposal.request)) {
        message.answer({result_code::NotAuthorized, m_accepted->atRevision, "the role does not allow this change"});
        return;
    }
    std::vector<std::byte> payload = encodeProposal(proposal);
    if (payload.size() > maxChangesBytes) {
        message.answer({result_code::ChangeInvalid, m_accepted->atRevision, "the request is too large"});
        return;
    }
    try {
        decodeProposal(payload); // What can't be read back would stop every replica that applies it.
    } catch (const coordination_error &fault) {
        message.answer({result_code::ChangeInvalid, m_accepted->atRevision, fault.what()});
        return;
    }
    m_host.post(command_proposed{addPending(message.answer), std::move(payload)});
}

void control_task::handle(const status_requested &message) const
{
    const replica &replica = m_host.state();
    message.answer(statusWith(replica.role == replica_role::Leader && isCurrent(replica, loop::now())));
}

void control_task::handle(const current_requested &message)
{
    if (m_host.state().role != replica_role::Leader) {
        message.answer(statusWith(false));
        return;
    }
    m_readings.push_back({message.answer, loop::now()});
    m_readingLimit.arm(readingLimit);
}

/// Answers the questions that a quorum has confirmed this leader after.
void control_task::answerReadings(instant confirmed)
{
    while (!m_readings.empty() && m_readings.front().asked < confirmed) {
        m_readings.front().answer(statusWith(true));
        m_readings.pop_front();
    }
}

void control_task::giveUpReadings()
{
    for (const pending_reading &each : std::exchange(m_readings, {})) {
        each.answer(statusWith(false));
    }
}

control_status control_task::statusWith(bool leads) const
{
    const replica &replica = m_host.state();
    return {.leader = leads,
            .self = replica.options.self,
            .leaderVm = replica.leader,
            .leaderAddress = addressOf(replica.leader),
            .members = replica.members,
            .waiting = waitingVms(),
            .accepted = m_accepted};
}

std::string control_task::addressOf(vm_id vm) const
{
    const auto found = m_addresses.find(vm);
    return found == m_addresses.end() ? std::string() : found->second;
}

void control_task::handle(const replacement_submitted &message)
{
    const std::uint64_t ticket = addPending(message.answer);
    if (message.fresh.value == 0) {
        m_host.post(removal_proposed{ticket, message.old});
    } else {
        m_host.post(learner_proposed{ticket, message.fresh, message.old});
    }
}

void control_task::handle(const replication_from_peer &message)
{
    try {
        replication_message decoded = decodeReplicationMessage(message.message.body);
        if (decoded.from == message.from) {
            m_host.post(message_received{std::move(decoded)});
        }
    } catch (const coordination_error &fault) {
        LOG(WARNING) << "replication message refused: " << describe(fault.code()).name;
    }
}

void control_task::handle(const control_vms_seen &message)
{
    m_seen = message.vms;
    for (std::size_t index = 0; index < message.addresses.size(); ++index) {
        m_addresses[message.vms[index]] = message.addresses[index];
    }
    admitWaiting();
}

void control_task::handle(const claims_members_seen &message)
{
    m_claimsMembers = message.live;
}

void control_task::handle(const accepted_wanted & /*message*/)
{
    m_publishDue = true;
    m_publishWhole = true;
    publish();
}

replica_host_events control_task::hostEvents()
{
    return {.send =
                [this](const replication_message &message) {
                    m_options.send(message.to,
                                   {.kind = channel::Replication, .body = encodeReplicationMessage(message)});
                },
            .apply = [this](const log_record &record) { apply(record); },
            .load = [this](const log_snapshot &snapshot) { load(snapshot); },
            .encodeState = [this] { return encodeControlState(m_state); },
            .appended = [this](const proposal_appended &appended) { noteAppended(appended); },
            .refused =
                [this](const proposal_refused &refused) {
                    // Whoever asked finds the leader by its address.
                    settle(refused.ticket, {refused.code, m_accepted->atRevision, addressOf(refused.leader)});
                },
            .roleChanged = [this](const role_changed &role) { noteRole(role); },
            .flushed =
                [this] {
                    publish();
                    prove();
                },
            .failed =
                [this] {
                    failAll();
                }};
}

void control_task::apply(const log_record &record)
{
    change_answer answer{result_code::Ok, m_accepted->atRevision, {}};
    if (const auto *stored = std::get_if<command>(&record.content)) {
        applied_command applied = applyCommand(m_state, m_options.secret, stored->payload);
        answer = applied.answer;
        if (applied.accepted) {
            m_accepted = std::make_shared<const configuration>(m_state.log.current);
            m_publishDue = true;
            m_publishWhole = m_publishWhole || !applied.delta;
        }
        if (applied.delta) {
            m_unpublished.push_back(std::move(*applied.delta));
        }
        passOnClaimsView();
    }
    settleAt(record, answer);
}

void control_task::load(const log_snapshot &snapshot)
{
    m_state = decodeControlState(snapshot.state);
    m_accepted = std::make_shared<const configuration>(m_state.log.current);
    m_publishDue = true;
    m_publishWhole = true;
    passOnClaimsView();
}

void control_task::settle(std::uint64_t ticket, const change_answer &answer)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end()) {
        return;
    }
    const answer_handler handler = std::move(found->second.answer);
    m_pending.erase(found);
    if (handler) {
        handler(answer);
    }
}

void control_task::settleAt(const log_record &record, const change_answer &answer)
{
    const auto found = m_ticketAt.find(record.index.value);
    if (found == m_ticketAt.end()) {
        return;
    }
    const std::uint64_t ticket = found->second;
    m_ticketAt.erase(found);
    const auto pending = m_pending.find(ticket);
    if (pending != m_pending.end() && pending->second.at == record.inTerm) {
        settle(ticket, answer);
    }
}

void control_task::noteAppended(const proposal_appended &appended)
{
    const auto found = m_pending.find(appended.ticket);
    if (found != m_pending.end()) {
        found->second.at = appended.inTerm;
        m_ticketAt[appended.index.value] = appended.ticket;
    }
}

void control_task::noteRole(const role_changed &role)
{
    LOG(INFO) << "control: " << nameOf(role.role) << " in term " << role.inTerm.value << ", leader VM " << std::hex
              << role.leader.value;
    if (role.role != replica_role::Leader) {
        failAll();
        giveUpReadings();
    }
}

void control_task::failAll()
{
    m_ticketAt.clear();
    std::vector<std::uint64_t> appended;
    for (const auto &[ticket, pending] : m_pending) {
        if (pending.at) {
            appended.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : appended) {
        settle(ticket, {result_code::ChangeOutcomeUnknown, m_accepted->atRevision, "resend with the same request ID"});
    }
}

/// Tells the followers of the newest revision. After a restart a whole log is applied at once; they hear of its end.
void control_task::publish()
{
    if (!std::exchange(m_publishDue, false)) {
        return;
    }
    auto served = std::make_shared<configuration>(*m_accepted);
    served->document.clear(); // Only readings by the operator need it, and those the replicas answer.
    std::vector<configuration_delta> deltas = std::exchange(m_unpublished, {});
    if (std::exchange(m_publishWhole, false)) {
        deltas.clear();
    }
    m_configurations.post(configuration_accepted{std::move(served), m_state.digest, std::move(deltas)});
}

void control_task::prove()
{
    const std::optional<instant> asOf = leadershipConfirmedAt(m_host.state());
    if (!asOf || *asOf <= m_lastProof) {
        return;
    }
    m_lastProof = *asOf;
    answerReadings(*asOf);
    if (m_options.proved) {
        m_options.proved({m_host.state().currentTerm, m_host.state().heartbeatRound, m_accepted->atRevision, *asOf});
    }
    admitWaiting();
    removeGone();
    proposeClaimsView();
}

void control_task::proposeClaimsView()
{
    const instant now = loop::now();
    const claims_view next = nextView(m_state.claims, m_claimsMembers);
    const bool tooSoon = now < m_claimsProposed + claimsViewPause;
    if (m_host.state().role != replica_role::Leader || tooSoon || next == m_state.claims) {
        return;
    }
    m_claimsProposed = now;
    m_host.post(command_proposed{addPending({}), encodeClaimsCommand(next)});
}

void control_task::passOnClaimsView()
{
    if (m_options.claimsAgreed && m_state.claims.epoch > m_claimsPassedOn) {
        m_claimsPassedOn = m_state.claims.epoch;
        LOG(INFO) << "control: view " << m_claimsPassedOn.value << " of " << m_state.claims.members.size()
                  << " VMs that keep claims";
        m_options.claimsAgreed(m_state.claims);
    }
}

void control_task::admitWaiting()
{
    const replica &replica = m_host.state();
    const bool settled = replica.membersIndex <= replica.commitIndex && replica.termStartIndex <= replica.commitIndex;
    const bool grows = replica.members.members.size() < replica.options.targetVoters;
    if (replica.role != replica_role::Leader || !settled || !grows) {
        return; // A full cluster takes a VM in only by an operator's replacement.
    }
    const std::vector<vm_id> waiting = waitingVms();
    if (!waiting.empty() && isCurrent(replica, loop::now())) {
        m_host.post(learner_proposed{addPending({}), waiting.front(),
                                     memberToReplace(replica, {m_seen, m_addresses}, waiting.front())});
    }
}

/// Has a voter removed that is gone for good; one that can't be is tried again later.
void control_task::removeGone()
{
    const instant now = loop::now();
    const std::optional<vm_id> gone = voterToRemove(m_host.state(), {m_seen, m_addresses}, now);
    if (gone && now >= m_removalDue) {
        LOG(WARNING) << "control: voter VM " << std::hex << gone->value << " is silent for long and is to be removed";
        m_removalDue = now + m_host.state().options.absentVoterLimit;
        m_host.post(removal_proposed{addPending({}), *gone});
    }
}

std::vector<vm_id> control_task::waitingVms() const
{
    std::vector<vm_id> waiting;
    std::ranges::copy_if(m_seen, std::back_inserter(waiting), [this](vm_id vm) {
        return findMember(m_host.state().members, vm) == nullptr && vm != m_host.state().options.self;
    });
    return waiting;
}

std::uint64_t control_task::addPending(answer_handler answer)
{
    m_pending[++m_lastTicket] = {std::move(answer), std::nullopt};
    return m_lastTicket;
}

} // namespace guavafront
