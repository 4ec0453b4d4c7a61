#pragma once

#include "daemon/daemon_wiring.h"
#include "daemon/operators/operator_tokens.h"
#include "runtime/child_spec.h"
#include "settings/daemon_settings.h"
#include "wire/handshake.h"

#include <guavafront/coordination/core/identifiers.h>

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

/// Reads the files that the settings name. Throws coordination_error (FileUnreadable, FileExposed, SettingInvalid).
daemon_secrets readSecrets(const daemon_settings &settings);

/// The children of the daemon's root supervisor, in start order. All arguments outlive the tree.
std::vector<child_spec> makeTree(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                 daemon_wiring &wiring);

/// Begins a new cluster with this control VM as its only voter. Done once in a fleet's life. Throws coordination_error
/// (SubjectExists) when the data folder is in use.
void bootstrapControl(const daemon_settings &settings);

/// Runs a daemon until SIGTERM or SIGINT, then stops it gracefully; a second signal ends it at once. Throws
/// coordination_error and supervisor_gave_up.
void runDaemon(const daemon_settings &settings);

} // namespace guavafront
