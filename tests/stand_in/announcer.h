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

/// Announces one instance to entry VMs again and again, as an upstream does.
class announcer
{
public:
    /// Announces what current gives, every third of its lease, to the first VM in targets that answers.
    announcer(loop &owner, std::vector<endpoint> targets, std::string token,
              std::function<announcement()> currentAnnouncement);

    /// Announces at once.
    void announceNow();

private:
    void send();
    void onAnswer(const upstream_outcome &outcome);

    loop &m_loop; ///< Not owned.
    const std::vector<endpoint> m_targets; ///< As constructed.
    const std::string m_token; ///< Shown with each announcement.
    const std::function<announcement()> m_currentAnnouncement; ///< As constructed.
    std::size_t m_targetIndex = 0; ///< Index of the VM that is told.
    std::uint64_t m_sequence = 0; ///< Goes up with each announcement.
    std::unique_ptr<upstream_connection> m_connection; ///< One for each announcement.
    timer m_announceTimer; ///< Until the next announcement.
};

} // namespace guavafront
