#pragma once

#include "settings/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// Role of a VM; one VM can have several.
enum class vm_role : std::uint8_t {
    Entry, ///< Serves requests of callers.
    Control, ///< Stores the configuration in the replicated log; needs a data folder.
};

/// Identity and roles of this VM.
struct vm_settings {
    std::string name; ///< Name shown to operators; unique in the fleet.
    std::string dataCentre; ///< Data centre in which the VM runs.
    std::vector<vm_role> roles; ///< Roles of the VM; at least one.
    /// Memory of the VM in MiB, from which the limit on messages that are being received or sent follows. 0 when it is
    /// unknown.
    std::uint32_t memoryMb = 0;
    std::string dataFolder; ///< Folder for the durable state of a control VM; empty on other VMs.
};

/// Addresses on which this VM listens. Addresses that the VM's roles don't need may be empty.
struct listen_settings {
    endpoint callers; ///< HTTP requests of callers; needed by entry VMs.
    endpoint peers; ///< Links from the other VMs of the fleet.
    endpoint operators; ///< HTTP requests of operators; needed by control VMs.
    endpoint announcements; ///< HTTP announcements of upstream instances; needed by entry VMs.
    endpoint metrics; ///< HTTP for /metrics, /live and readyPath.
    /// Path of the HTTP health check that tells the load balancer whether to send callers to this VM.
    std::string readyPath = "/ready";
};

/// Links to other VMs.
struct peer_settings {
    /// Address at which other VMs reach listen.peers if it is a different one, for example behind a relay. Empty when
    /// they use listen.peers itself.
    endpoint advertise;
    std::vector<endpoint> seeds; ///< Peer addresses of VMs to contact when joining the fleet, control VMs first.
    /// Largest number of entry VMs that ever run at the same time; must be the same on all VMs. 0 when it is unknown.
    std::uint32_t fleetSize = 48;
    /// Links between VMs are not authenticated by the fleet secret; for networks that nobody else can reach.
    bool privateNetwork = false;
};

/// Paths of files that hold secrets. A file is refused when users other than its owner and group have access to it.
struct secret_settings {
    std::string fleetSecretFile; ///< Secret shared by all VMs of the fleet, which authenticates their links.
    std::string serviceTokenFile; ///< Token that upstreams send with an announcement.
    std::string operatorTokensFile; ///< JSON list of operators' tokens and roles; needed by control VMs.
};

/// Replicated log of the control VMs.
struct control_settings {
    std::uint32_t voters = 3; ///< Number of voting control VMs; odd, and the same on all control VMs.
    /// Number of control VMs whose disks may be lost at the same time without loss of an accepted change. Lost voters
    /// are removed only while one more than twice as many remain.
    std::uint32_t toleratedDiskLosses = 1;
    /// Peer addresses of the control VMs that create the cluster together at the first start of the fleet.
    std::vector<endpoint> founders;
    /// The whole fleet starts for the first time: a founder without a journal creates the cluster.
    bool firstStart = false;
};

/// Limits that protect an entry VM from overload, and its timeouts and modes.
struct entry_settings {
    std::uint32_t maxConnections = 10'000; ///< Open connections of callers at the same time.
    std::uint32_t maxHeaderBytes = 32'768; ///< Start line and headers of one request, in bytes.
    std::uint32_t maxBodyBytes = 1'048'576; ///< Body of one request or answer, in bytes.
    std::uint32_t idleTimeoutMs = 60'000; ///< Time without received bytes after which a caller's connection is closed.
    /// Time for which a planned stop still serves new requests after readyPath reports that the VM is not ready.
    std::uint32_t balancerGraceMs = 5'000;
    std::uint32_t drainLimitMs = 30'000; ///< Longest time for which a planned stop waits for running requests.
    std::uint32_t connectTimeoutMs = 1'000; ///< Longest time to establish a connection to an upstream instance.
    std::uint32_t idleConnectionsPerInstance = 32; ///< Idle connections kept open to one upstream instance.
    /// Time after which a connection whose sent bytes are not acknowledged (TCP) counts as lost. 0 leaves the limit to
    /// the operating system.
    std::uint32_t unackedTimeoutMs = 0;
    bool strictConfiguration = false; ///< Requests are refused while the configuration is known to be outdated.
    /// Chooses instances by affinity; for fleets in which one VM sends less than one request per second to an instance.
    bool sparse = false;
    /// Arrivals at a service's instances beyond the first of each request that the whole fleet may cause within
    /// retryWindowMs, beyond retryPercent of the requests. 0 leaves retries to the configuration's percentage at each
    /// VM.
    std::uint32_t retrySlack = 0;
    std::uint32_t retryPercent = 20; ///< Such arrivals in percent of the requests; applies with retrySlack.
    std::uint32_t retryWindowMs = 10'000; ///< Time in which these arrivals are counted, in milliseconds.
    double warmupOvershoot = 1; ///< Factor by which all VMs together may exceed the limit of a cold instance.
    double warmupSlack = 0; ///< Requests in a second by which they may exceed it besides.
    /// Orders waiting requests by urgency and bounds what a VM has at instances by its share of the capacity; see
    /// entry_policy::urgencyOrder. Only together with sparse.
    bool urgencyOrder = false;
};

/// All settings of one daemon, grouped as in the settings file.
struct daemon_settings {
    vm_settings vm; ///< Identity and roles of this VM.
    listen_settings listen; ///< Addresses on which this VM listens.
    peer_settings peers; ///< Links to other VMs.
    secret_settings secrets; ///< Paths of files that hold secrets.
    control_settings control; ///< Replicated log of the control VMs.
    entry_settings entry; ///< Limits, timeouts and modes of an entry VM.
};

/// Returns how many bytes one task may hold for messages that are being received or sent. A message may take up several
/// times its size while it is received, copied and sent, and the rest of the program needs memory, too.
std::size_t messageMemoryBytes(const daemon_settings &settings);

/// Returns whether the VM has the role.
bool hasRole(const daemon_settings &settings, vm_role role);

} // namespace guavafront
