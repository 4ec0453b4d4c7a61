#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <span>

namespace guavafront
{

namespace
{

/// Answers an order to evacuate a data centre or to revoke that. Orders aren't based on a revision: an operator resends
/// them unchanged to any control VM. One without an effect is acknowledged and creates no revision.
change_answer decideOrder(configuration &current, const evacuation_order &order)
{
    switch (effectOf(current.evacuations, order)) {
    case order_effect::InForce:
        return {result_code::Ok, current.atRevision, "in force already"};
    case order_effect::LateDuplicate:
        return {result_code::Ok, current.atRevision, "a late copy of an order that was replaced since; not applied"};
    case order_effect::Applied:
        break;
    }
    try {
        const change edit = order;
        current = applyChanges(current, std::span(&edit, 1));
    } catch (const coordination_error &fault) {
        return {fault.code(), current.atRevision, fault.what()};
    }
    return {result_code::Ok, current.atRevision, {}};
}

/// Answers a request whose ID is new. When it is accepted, current is replaced by the new revision.
change_answer decideNew(configuration &current, const change_proposal &proposal)
{
    if (!isAuthorized(proposal.author, proposal.request)) {
        return {result_code::NotAuthorized, current.atRevision, "the role does not allow this change"};
    }
    const std::vector<change> &changes = proposal.request.changes;
    if (const auto *order = changes.size() == 1 ? std::get_if<evacuation_order>(&changes.front()) : nullptr) {
        return decideOrder(current, *order);
    }
    if (std::ranges::any_of(changes,
                            [](const change &edit) { return std::holds_alternative<evacuation_order>(edit); })) {
        return {result_code::ChangeInvalid, current.atRevision, "an evacuation is ordered by a request of its own"};
    }
    const auto *whole = changes.size() == 1 ? std::get_if<replace_all>(&changes.front()) : nullptr;
    if (whole != nullptr && !isNewer(current, *whole)) {
        return {result_code::Ok, current.atRevision, "a higher version is in force"};
    }
    const bool hasDifference = std::ranges::any_of(
        changes, [](const change &edit) { return std::holds_alternative<configuration_difference>(edit); });
    if (hasDifference) {
        return {result_code::ChangeInvalid, current.atRevision, "a difference is no operator's edit"};
    }
    if (whole == nullptr && proposal.request.expectedRevision != current.atRevision) {
        return {result_code::RevisionConflict, current.atRevision, "the change was based on another revision"};
    }
    try {
        current = applyChanges(current, proposal.request.changes);
    } catch (const coordination_error &fault) {
        return {fault.code(), current.atRevision, fault.what()};
    }
    return {result_code::Ok, current.atRevision, {}};
}

} // namespace

bool isAuthorized(const change_author &author, const change_request &request)
{
    if (author.role == operator_role::Operator) {
        return true;
    }
    return std::ranges::all_of(request.changes, [&author](const change &edit) {
        const auto *order = std::get_if<set_kind_order>(&edit);
        return order != nullptr && !author.accountName.empty() && order->accountName == author.accountName;
    });
}

const remembered_answer *findAnswer(const change_log &log, const change_id &id)
{
    const auto found = std::ranges::find(log.answers, id, &remembered_answer::id);
    return found == log.answers.end() ? nullptr : &*found;
}

change_answer decide(change_log &log, const change_proposal &proposal)
{
    if (const remembered_answer *first = findAnswer(log, proposal.request.id)) {
        if (first->contentDigest == proposal.contentDigest) {
            return first->answer;
        }
        return {result_code::ChangeInvalid, log.current.atRevision, "the request ID was used for another change"};
    }
    change_answer answer = decideNew(log.current, proposal);
    log.answers.push_back({proposal.request.id, proposal.contentDigest, answer});
    if (log.answers.size() > maxRememberedAnswers) {
        log.answers.pop_front();
    }
    return answer;
}

} // namespace guavafront
