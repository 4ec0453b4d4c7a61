#pragma once

#include "http/upstream_connection.h"
#include "runtime/timer.h"
#include "settings/endpoint.h"

#include <guavafront/coordination/registry/announcement.h>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Announces one upstream instance to the entry VMs periodically, as a real upstream does.
class announcer
{
public:
    /// Sends what currentAnnouncement returns, three times per lease, to one of the targets. After a failure it sends
    /// the next announcement to the next target. The first announcement is sent by announceNow().
    announcer(loop &owner, std::vector<endpoint> targets, std::string token,
              std::function<announcement()> currentAnnouncement);

    /// Sends an announcement without waiting for the end of the current period.
    void announceNow();

private:
    void send();
    void onAnswer(const upstream_outcome &outcome);

    loop &m_loop; ///< Not owned.
    const std::vector<endpoint> m_targets; ///< Announcement addresses of the entry VMs.
    const std::string m_token; ///< Service token, sent as bearer token with each announcement.
    const std::function<announcement()> m_currentAnnouncement; ///< Returns the state to announce.
    std::size_t m_targetIndex = 0; ///< Announcements go to the target with this index modulo the number of targets.
    std::uint64_t m_sequence = 0; ///< Sequence number of the last announcement.
    std::unique_ptr<upstream_connection> m_connection; ///< Connection of the last announcement; each uses a new one.
    timer m_announceTimer; ///< Expires when the next announcement is due.
};

} // namespace guavafront
