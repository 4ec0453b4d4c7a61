#pragma once

#include "settings/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// Work that one VM does.
enum class vm_role : std::uint8_t {
    Entry, ///< Serves callers.
    Control, ///< Keeps the configuration; needs a data folder.
};

/// Who this VM is.
struct vm_settings {
    std::string name; ///< For operators; unique in the fleet.
    std::string dataCentre; ///< Data centre that the VM stands in.
    std::vector<vm_role> roles; ///< At least one.
    std::string dataFolder; ///< Durable state of a control VM; empty on others.
};

/// Where this VM listens.
struct listen_settings {
    endpoint callers; ///< HTTP for callers (entry).
    endpoint peers; ///< Links to the fleet's other VMs.
    endpoint operators; ///< HTTP for operators (control).
    endpoint announcements; ///< HTTP for upstreams' announcements (entry).
    endpoint metrics; ///< HTTP for /metrics, /live and readyPath.
    std::string readyPath = "/ready"; ///< Path that tells the balancer whether callers may be sent here.
};

/// Links to other VMs.
struct peer_settings {
    endpoint advertise; ///< Where other VMs reach listen.peers when it differs, as behind a relay; empty: listen.peers.
    std::vector<endpoint> seeds; ///< Peers' addresses to join by, control VMs first.
    std::uint32_t fleetSize = 48; ///< Most entry VMs that ever run at once, the same on all VMs; 0 when nobody knows.
    bool privateNetwork = false; ///< Links prove no secret: the network lets no one else in.
};

/// Files that hold secrets; refused when others than the owner and group may read them.
struct secret_settings {
    std::string fleetSecretFile; ///< Shared by all VMs of the fleet.
    std::string serviceTokenFile; ///< What upstreams show with an announcement.
    std::string operatorTokensFile; ///< JSON list of operators' tokens and roles (control).
};

/// The control's replicated log.
struct control_settings {
    std::uint32_t voters = 3; ///< Control VMs that vote, an odd number; the same on all control VMs.
    std::vector<endpoint> founders; ///< Peers' addresses of the VMs that begin the cluster together at the first start.
    bool firstStart = false; ///< The whole fleet starts for the first time; a founder without data begins the cluster.
};

/// Limits of an entry VM against overload of its own.
struct entry_settings {
    std::uint32_t maxConnections = 10'000; ///< Callers' connections at once.
    std::uint32_t maxHeaderBytes = 32'768; ///< Start line and headers of one request.
    std::uint32_t maxBodyBytes = 1'048'576; ///< Body of one request or answer.
    std::uint32_t idleTimeoutMs = 60'000; ///< A caller's connection that sends nothing for longer is closed.
    std::uint32_t balancerGraceMs = 5'000; ///< A planned stop goes on serving for so long after /ready says no.
    std::uint32_t drainLimitMs = 30'000; ///< A planned stop waits this long for running requests.
    std::uint32_t connectTimeoutMs = 1'000; ///< Limit for a new connection to an upstream.
    std::uint32_t idleConnectionsPerInstance = 32; ///< Kept connections to one upstream instance.
    std::uint32_t unackedTimeoutMs =
        0; ///< A connection whose bytes no one acknowledges for so long is lost; 0: the system's.
    bool strictConfiguration = false; ///< Nothing is served by a configuration that is known to be overtaken.
    bool sparse = false; ///< One VM sends an instance less than a request a second: instances are chosen by affinity.
};

/// All settings of one daemon.
struct daemon_settings {
    vm_settings vm; ///< Who this VM is.
    listen_settings listen; ///< Where it listens.
    peer_settings peers; ///< Links to other VMs.
    secret_settings secrets; ///< Files with secrets.
    control_settings control; ///< The control's replicated log.
    entry_settings entry; ///< Limits of an entry VM.
};

/// Whether the VM has a role.
bool hasRole(const daemon_settings &settings, vm_role role);

} // namespace guavafront
