#pragma once

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

/// What a daemon reads from its files of secrets.
struct daemon_secrets {
    fleet_secret fleet{}; ///< Proved to other VMs.
    std::string serviceToken; ///< What announcements carry; empty without the entry role.
    std::vector<operator_token> operators; ///< Who may change; empty without the control role.
};

/// Another front end beside or in place of guavafront's own interface.
struct front_end {
    caller_dialect dialect = ownDialect(); ///< How callers and upstreams word their messages.

    /// Its own tasks, started last.
    std::function<std::vector<child_spec>(daemon_wiring &)> tasks = [](daemon_wiring &) {
        return std::vector<child_spec>();
    };
};

/// Reads the files that the settings name. Throws coordination_error (FileUnreadable, FileExposed, SettingInvalid).
daemon_secrets readSecrets(const daemon_settings &settings);

/// The children of the daemon's root supervisor, in start order. All arguments outlive the tree.
std::vector<child_spec> makeSupervisionTree(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                            daemon_wiring &wiring, const front_end &front = {});

/// Identity of a founder of the cluster, from its peers' address: the same on all founders.
vm_id founderIdentity(const endpoint &address);

/// Begins the cluster that all founders begin, when this VM is one of them, starts for the first time and has no data.
void bootstrapAsFounder(const daemon_settings &settings);

/// Begins a new cluster with this control VM as its only voter. Done once in a fleet's life. Throws coordination_error
/// (SubjectExists) when the data folder is in use.
void bootstrapControl(const daemon_settings &settings);

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully; a second signal ends it at once. Throws
/// coordination_error and supervisor_gave_up.
void runDaemon(const daemon_settings &settings, const front_end &front = {});

} // namespace guavafront
