#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/entry/attempt_result.h>
#include <guavafront/coordination/entry/request_head.h>
#include <guavafront/coordination/limits/limiter.h>
#include <guavafront/coordination/registry/announcement.h>

#include <memory>
#include <variant>

namespace guavafront
{

/// A caller's whole request came.
struct request_arrived {
    request_head head; ///< Views for this step only.
};

/// A try that the entry had started has ended.
struct attempt_ended {
    exchange_id id; ///< Request.
    attempt_result result; ///< How it ended.
};

/// The caller went away before its answer.
struct caller_left {
    exchange_id id; ///< Request.
};

/// A newer accepted configuration is in force.
struct configuration_changed {
    std::shared_ptr<const configuration> value; ///< Never null; older revisions than the present one are ignored.
};

/// What this VM knows of the freshness of its configuration.
struct freshness_changed {
    instant confirmedAt; ///< When the control last confirmed, over any path, that nothing newer was accepted.
    bool isolated = false; ///< This VM hears less than most of the fleet.
};

/// An instance announced itself here.
struct instance_announced {
    announcement news; ///< What it said.
};

/// Another VM hears an instance.
struct instance_learned {
    vm_id hearer; ///< VM that answers for it.
    announcement news; ///< What it said.
};

/// Another VM doesn't answer for an instance any more.
struct instance_forgotten {
    vm_id hearer; ///< VM that did.
    instance_id instance; ///< The instance.
};

/// A VM that answered for instances was lost or found again.
struct hearer_changed {
    vm_id hearer; ///< The VM.
    bool reachable = false; ///< Whether it is among the living.
};

/// A planned stop has begun.
struct stop_requested {
};

/// Time moved on; sent when a wake_at has come.
struct time_passed {
};

/// All that an entry's decisions react to.
using entry_event = std::variant<request_arrived, attempt_ended, caller_left, configuration_changed, freshness_changed,
                                 instance_announced, instance_learned, instance_forgotten, hearer_changed,
                                 stop_requested, time_passed, limit_members_changed, limit_message_received>;

} // namespace guavafront
