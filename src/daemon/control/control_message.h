#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace guavafront
{

/// An operator's change; answer is called on the control task's thread and posts the answer back.
struct change_submitted {
    change_author author; ///< Who asks.
    change_request request; ///< What is asked.
    std::function<void(const change_answer &)> answer; ///< Called exactly once.
};

/// What operators see of the control.
struct control_status {
    bool leader = false; ///< This VM may accept changes.
    std::shared_ptr<const configuration> accepted; ///< Highest accepted revision that this VM knows.
};

/// Question for the status; answer is called on the control task's thread and posts the answer back.
struct status_requested {
    std::function<void(const control_status &)> answer; ///< Called exactly once.
};

/// What the control task reacts to.
using control_message = std::variant<change_submitted, status_requested>;

} // namespace guavafront
