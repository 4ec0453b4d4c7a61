#include <guavafront/coordination/links/link_resumption.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafront
{

namespace
{

/// Takes the kept messages of all ended links to the peer, in order, once all are answered. Those taken earlier could
/// be lost with their new link, and would then follow the messages of the links that weren't answered.
std::vector<kept_message> settleInOrder(detached_links &state, vm_id peer)
{
    const auto isOpen = [peer](const detached_link &each) {
        return each.peer == peer && !each.settled;
    };
    const bool allAnswered = std::ranges::all_of(
        state.links, [&isOpen](const detached_link &each) { return !isOpen(each) || each.answered; });
    std::vector<kept_message> messages;
    for (detached_link &each : state.links) {
        if (!allAnswered || !isOpen(each)) {
            continue;
        }
        each.settled = true;
        each.offered = false;
        each.delivery.keptBytes = 0;
        std::ranges::move(std::exchange(each.delivery.kept, {}), std::back_inserter(messages));
    }
    return messages;
}

} // namespace

void detach(detached_links &state, detached_link ended, instant now)
{
    ended.lastSentOnLink = ended.delivery.lastSent;
    ended.expires = now + state.retention;
    state.links.push_back(std::move(ended));
}

std::vector<link_resumption> offersTo(detached_links &state, vm_id peer)
{
    std::vector<link_resumption> offers;
    for (detached_link &each : state.links) {
        if (each.peer == peer && !each.settled) {
            each.offered = true;
            offers.push_back({.link = each.link, .received = each.delivery.lastReceived});
        }
    }
    return offers;
}

resumption_result handleResumption(detached_links &state, vm_id peer, const link_resumption &statement)
{
    resumption_result result;
    const auto ended = std::ranges::find_if(state.links, [peer, &statement](const detached_link &each) {
        return each.peer == peer && each.link == statement.link;
    });
    const bool known = ended != state.links.end();
    if (!statement.isAnswer) {
        result.answer = {.link = statement.link,
                         .received = known ? ended->delivery.lastReceived : 0,
                         .known = known,
                         .isAnswer = true};
    }
    if (!known || ended->answered) {
        return result;
    }
    const std::size_t before = ended->delivery.kept.size();
    dropArrived(ended->delivery, statement.known ? statement.received : ended->lastSentOnLink);
    result.lost = statement.known ? 0 : before - ended->delivery.kept.size();
    ended->answered = true;
    result.resend = settleInOrder(state, peer);
    return result;
}

detached_link *awaitedResumption(detached_links &state, vm_id peer)
{
    const auto last = std::find_if(state.links.rbegin(), state.links.rend(),
                                   [peer](const detached_link &each) { return each.peer == peer && each.offered; });
    return last == state.links.rend() ? nullptr : &*last;
}

bool hasUndelivered(const detached_links &state, vm_id peer)
{
    return std::ranges::any_of(state.links, [peer](const detached_link &each) {
        return each.peer == peer && !each.settled && hasUnconfirmed(each.delivery);
    });
}

std::vector<detached_link> takeExpired(detached_links &state, instant now)
{
    std::vector<detached_link> expired;
    const auto rest = std::stable_partition(state.links.begin(), state.links.end(),
                                            [now](const detached_link &each) { return each.expires > now; });
    expired.assign(std::make_move_iterator(rest), std::make_move_iterator(state.links.end()));
    state.links.erase(rest, state.links.end());
    return expired;
}

} // namespace guavafront
