#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/links/link_delivery.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// Random identity of a link, known to both of its ends.
using link_identity = std::array<std::byte, 32>;

/// Statement of one VM on a link that has ended: how many messages it received. The peer sends the others again.
struct link_resumption {
    link_identity link{}; ///< Link that has ended.
    std::uint64_t received = 0; ///< Number of the last message received on it.
    bool known = true; ///< False if the sender doesn't remember the link, and so can't say what it received.
    bool isAnswer = false; ///< Answers the peer's statement, and isn't answered itself.
    bool operator==(const link_resumption &) const = default; ///< Memberwise equality.
};

/// Link that has ended, with the messages that may not have arrived.
struct detached_link {
    link_identity link{}; ///< Identity of the link.
    vm_id peer; ///< VM at the other end.
    std::string address; ///< "IP:port" on which the peer accepts links.
    link_delivery delivery; ///< Messages that may not have arrived, and the count of those received.
    std::uint64_t lastSentOnLink = 0; ///< Number of the last message sent on the link; later ones were sent nowhere.
    instant expires{}; ///< Time at which the link is forgotten.
    bool offered = false; ///< The peer was told of the link over a new one and hasn't answered.
    bool answered = false; ///< The peer has stated what it received.
    bool settled = false; ///< The messages that had not arrived were taken, to be sent again.
};

/// Links of one VM that ended recently.
struct detached_links {
    duration retention = std::chrono::seconds(10); ///< Time for which an ended link is remembered.
    std::vector<detached_link> links; ///< The links, in the order in which they ended.
};

/// What follows from a peer's statement.
struct resumption_result {
    std::optional<link_resumption> answer; ///< Statement to send to the peer first.
    std::vector<kept_message> resend; ///< Messages to send to the peer, in this order.
    std::size_t lost = 0; ///< Messages of which the peer can't say whether they arrived; they aren't sent again.
};

/// Remembers a link that has just ended.
void detach(detached_links &state, detached_link ended, instant now);

/// Returns this VM's statements on all ended links to the peer, to be sent over a new link.
std::vector<link_resumption> offersTo(detached_links &state, vm_id peer);

/// Handles a peer's statement. The link must not be in use any more.
resumption_result handleResumption(detached_links &state, vm_id peer, const link_resumption &statement);

/// Returns the ended link whose messages must go to the peer before any other, or null. New messages are kept there.
detached_link *awaitedResumption(detached_links &state, vm_id peer);

/// Whether messages for the peer wait for a new link.
bool hasUndelivered(const detached_links &state, vm_id peer);

/// Forgets the links whose time is over and returns them.
std::vector<detached_link> takeExpired(detached_links &state, instant now);

} // namespace guavafront
