#include "daemon/control/control_task.h"

#include "wire/configuration_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

void control_task::handle(const change_submitted &message)
{
    // The digest leaves the time of an order out, so that a resend under the same ID is known as one.
    change_proposal proposal = makeProposal(message.author, message.request);
    stampOrders(proposal.request);
    if (!isAuthorized(proposal.author, proposal.request)) {
        message.answer({result_code::NotAuthorized, m_accepted->atRevision, "the role does not allow this change"});
        return;
    }
    std::vector<std::byte> payload = encodeProposal(proposal);
    try {
        checkProposal(payload);
    } catch (const coordination_error &error) {
        message.answer({error.code(), m_accepted->atRevision, error.what()});
        return;
    }
    m_host.post(command_proposed{addPending(message.answer), std::move(payload)});
}

void control_task::handle(const change_announced &message)
{
    if (const remembered_answer *first = findAnswer(m_state.log, message.id)) {
        message.answer(first->answer);
    } else if (pending_proposal *pending = findPending(message.id)) {
        pending->answers.push_back(message.answer);
    } else if (m_host.state().role != replica_role::Leader) {
        message.answer({result_code::NotLeader, m_accepted->atRevision, nextRedirectAddress()});
    } else {
        message.read();
    }
}

void control_task::handle(const encoded_change_submitted &message)
{
    const std::uint64_t ticket = addPending(message.answer);
    m_pending[ticket].id = message.id;
    m_host.post(command_proposed{ticket, message.proposal});
}

void control_task::completeProposal(std::uint64_t ticket, const change_answer &answer)
{
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end()) {
        return;
    }
    const std::vector<answer_handler> handlers = std::move(found->second.answers);
    m_pending.erase(found);
    for (const answer_handler &handler : handlers) {
        handler(answer);
    }
}

void control_task::completeProposalAt(const log_record &record, const change_answer &answer)
{
    const auto found = m_ticketByIndex.find(record.index.value);
    if (found == m_ticketByIndex.end()) {
        return;
    }
    const std::uint64_t ticket = found->second;
    m_ticketByIndex.erase(found);
    const auto pending = m_pending.find(ticket);
    if (pending != m_pending.end() && pending->second.appendedInTerm == record.inTerm) {
        m_decided.push_back({std::move(pending->second.answers), answer});
        m_pending.erase(pending);
    }
}

/// Tells operators what was decided. The configuration is published before: this VM may stand still or be lost at any
/// moment, and other VMs must hear of what is acknowledged in time.
void control_task::answerDecided()
{
    if (m_decided.empty()) {
        return;
    }
    publishAccepted();
    for (const decided_change &each : std::exchange(m_decided, {})) {
        for (const answer_handler &handler : each.answers) {
            handler(each.outcome);
        }
    }
}

void control_task::recordAppendedProposal(const proposal_appended &appended)
{
    const auto found = m_pending.find(appended.ticket);
    if (found != m_pending.end()) {
        found->second.appendedInTerm = appended.inTerm;
        m_ticketByIndex[appended.index.value] = appended.ticket;
    }
}

/// Ends the proposals whose outcome can't be known any more: those that were appended to the log, or all of them.
void control_task::failProposals(failed_proposals concerned)
{
    m_ticketByIndex.clear();
    std::vector<std::uint64_t> tickets;
    for (const auto &[ticket, pending] : m_pending) {
        if (concerned == failed_proposals::All || pending.appendedInTerm) {
            tickets.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : tickets) {
        completeProposal(
            ticket, {result_code::ChangeOutcomeUnknown, m_accepted->atRevision, "resend with the same request ID"});
    }
}

std::uint64_t control_task::addPending(answer_handler answer)
{
    pending_proposal &added = m_pending[++m_lastTicket];
    if (answer) {
        added.answers.push_back(std::move(answer));
    }
    return m_lastTicket;
}

/// Returns the proposal of an encoded change with this ID; null when none is pending.
control_task::pending_proposal *control_task::findPending(const change_id &id)
{
    const auto found = std::ranges::find_if(m_pending, [&id](const auto &entry) { return entry.second.id == id; });
    return found == m_pending.end() ? nullptr : &found->second;
}

} // namespace guavafront
