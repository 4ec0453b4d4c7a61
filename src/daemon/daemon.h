#pragma once

#include "daemon/configuration/configuration_task.h"
#include "daemon/daemon_wiring.h"
#include "daemon/entry/caller_dialect.h"
#include "daemon/operators/operator_tokens.h"
#include "runtime/child_spec.h"
#include "settings/daemon_settings.h"
#include "wire/handshake.h"

#include <guavafront/coordination/core/identifiers.h>

#include <functional>
#include <string>
#include <vector>

namespace guavafront
{

/// Secrets that a daemon reads from the files that its settings name.
struct daemon_secrets {
    fleet_secret fleet{}; ///< Authenticates the links between VMs.
    std::string serviceToken; ///< Token that announcements must carry; empty if this VM doesn't listen for them.
    std::vector<operator_token> operators; ///< Tokens for the operators' interface; empty if it isn't served here.
};

/// Front end that is served in addition to guavafront's own interface or instead of it.
struct front_end {
    caller_dialect dialect = nativeDialect(); ///< Message formats of callers and upstreams.

    /// Creates the front end's own tasks, which start after all others.
    std::function<std::vector<child_spec>(daemon_wiring &)> tasks = [](daemon_wiring &) {
        return std::vector<child_spec>();
    };
};

/// Reads the files that the settings name. Throws coordination_error (FileUnreadable, FileExposed, SettingInvalid).
daemon_secrets readSecrets(const daemon_settings &settings);

/// Returns what passes each configuration in force on to the tasks of this VM that read it. The wiring must outlive it.
configuration_subscriber configurationSubscriber(const daemon_settings &settings, daemon_wiring &wiring);

/// Returns the children of the daemon's root supervisor in start order. All arguments must outlive the tree.
std::vector<child_spec> makeSupervisionTree(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                            daemon_wiring &wiring, const front_end &front = {});

/// Identity of a founder of the cluster, derived from the address at which it listens for other VMs, so that all
/// founders compute the same one.
vm_id founderIdentity(const endpoint &address);

/// Creates the initial state of the cluster, which is the same on all founders. Does nothing unless the settings
/// announce a first start, this VM is one of the founders and its data folder is unused.
void bootstrapAsFounder(const daemon_settings &settings);

/// Creates a new cluster whose only voter is this control VM; done once in a fleet's lifetime. Throws
/// coordination_error: SettingInvalid without the control role, SubjectExists if the data folder is in use.
void bootstrapControl(const daemon_settings &settings);

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully; a second signal exits at once. Throws
/// coordination_error and supervisor_gave_up.
void runDaemon(const daemon_settings &settings, const front_end &front = {});

} // namespace guavafront
