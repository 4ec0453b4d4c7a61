#pragma once

#include "daemon/daemon.h"
#include "http/http_server.h"

#include <functional>
#include <vector>

namespace guavafront
{

/// Returns a function that sends a message to one VM through the peers task.
std::function<void(vm_id, envelope)> vmSender(daemon_wiring &wiring);

/// What the tasks of a control VM are made from; all references must outlive the tree.
struct control_tree_options {
    const daemon_settings &settings; ///< Settings of the VM.
    const daemon_secrets &secrets; ///< Secrets of the VM.
    vm_id self; ///< Identity of the VM.
};

/// Returns the tasks that only control VMs run, in start order. operatorsServer is the operators' interface.
std::vector<child_spec> controlChildren(const control_tree_options &options, const http_server_options &operatorsServer,
                                        daemon_wiring &wiring);

} // namespace guavafront
