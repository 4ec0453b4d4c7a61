#include "coordination/claims/claim_notices.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration initialResendInterval = std::chrono::milliseconds(200);

/// Sends a notice to those homes under the view in force that haven't acknowledged it. Returns false when there are
/// none.
bool sendToUnacknowledgedHomes(const claimant &state, const pending_notice &notice,
                               std::vector<claimant_effect> &effects)
{
    bool sent = false;
    if (!state.placement.homes.empty()) {
        for (const vm_id home : state.placement.homes[notice.shard]) {
            if (!notice.acknowledged.contains(home)) {
                effects.emplace_back(send_claim_message{home, notice.message});
                sent = true;
            }
        }
    }
    return sent;
}

void scheduleNotice(claimant &state, std::uint64_t number, pending_notice &notice, instant now)
{
    notice.nextSend = now + notice.resendInterval;
    notice.resendInterval *= 2;
    state.noticeTimes.emplace(notice.nextSend, number);
}

} // namespace

void startNotice(claimant &state, const claim_attempt &attempt, const claim_key &key, claim_message message,
                 instant now, std::vector<claimant_effect> &effects)
{
    pending_notice notice{.message = std::move(message), .shard = shardOf(key), .acknowledged = {}};
    notice.resendInterval = initialResendInterval;
    notice.expires = now + state.options.noticeTimeout;
    if (sendToUnacknowledgedHomes(state, notice, effects)) {
        scheduleNotice(state, attempt.number, notice, now);
        state.notices.emplace(attempt.number, std::move(notice));
    }
}

void sendNotices(claimant &state, instant now, std::vector<claimant_effect> &effects)
{
    while (!state.noticeTimes.empty() && state.noticeTimes.begin()->first <= now) {
        const std::uint64_t number = state.noticeTimes.begin()->second;
        state.noticeTimes.erase(state.noticeTimes.begin());
        pending_notice &notice = state.notices.at(number);
        if (now < notice.expires && sendToUnacknowledgedHomes(state, notice, effects)) {
            scheduleNotice(state, number, notice, now);
        } else {
            state.notices.erase(number);
        }
    }
}

void receive(claimant &state, vm_id from, const claim_acknowledged &message)
{
    const auto found = state.notices.find(message.attempt.number);
    if (message.attempt.claimant != state.self || found == state.notices.end()) {
        return;
    }
    pending_notice &notice = found->second;
    notice.acknowledged.insert(from);
    const bool complete = std::ranges::all_of(state.placement.homes[notice.shard],
                                              [&notice](vm_id home) { return notice.acknowledged.contains(home); });
    if (complete) {
        state.noticeTimes.erase({notice.nextSend, found->first});
        state.notices.erase(found);
    }
}

} // namespace guavafront
