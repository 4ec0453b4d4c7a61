#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Answers a request whose ID is new. When it is accepted, current is replaced by the new revision.
change_answer decideNew(configuration &current, const change_proposal &proposal)
{
    if (!isAuthorized(proposal.author, proposal.request)) {
        return {result_code::NotAuthorized, current.atRevision, "the role does not allow this change"};
    }
    const std::vector<change> &changes = proposal.request.changes;
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
