#pragma once

#include "http/http_call.h"
#include "settings/endpoint.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

class child_process;

/// Ports of one VM's listeners on loopback.
struct vm_ports {
    std::string peersIp = "127.0.0.1"; ///< For links between VMs.
    std::uint16_t callers = 0; ///< HTTP for callers.
    std::uint16_t peers = 0; ///< Links between VMs.
    std::uint16_t operators = 0; ///< HTTP for operators.
    std::uint16_t announcements = 0; ///< HTTP for upstreams.
    std::uint16_t metrics = 0; ///< /metrics, /live, /ready.
};

/// What a fleet under test consists of.
struct fleet_layout {
    std::size_t controls = 1; ///< Control VMs.
    std::size_t entries = 2; ///< Entry VMs.
    std::size_t dataCentres = 3; ///< VMs are dealt to them in turn.
    std::uint64_t balancerGraceMs = 100; ///< Of the entry VMs.
    std::map<std::string, std::uint16_t> peerRelays; ///< By VM: port where others reach it; each VM has an IP number.
};

/// One stand-in upstream as a process.
struct stand_in_launch {
    std::string name; ///< Of the process.
    std::string service; ///< That it announces.
    std::vector<std::string> entries; ///< Hear its announcements in turn.
    std::vector<std::string> extraOptions; ///< Of its command line.
};

/// How an operator command ended.
struct operator_outcome {
    int exitStatus = 0; ///< Of the process.
    std::string answer; ///< Last line of its output.
};

/// The real daemons and stand-in upstreams as processes on loopback, in a folder of their own that is removed at the
/// end. Names are "control-1", "entry-1", "upstream-1" and so on.
class fleet_processes
{
public:
    /// Writes settings and secrets; nothing runs yet.
    explicit fleet_processes(const fleet_layout &layout);
    ~fleet_processes();
    fleet_processes(const fleet_processes &) = delete;
    fleet_processes &operator=(const fleet_processes &) = delete;

    /// Starts a VM by name.
    void start(const std::string &vm);

    /// Starts all VMs and waits until they listen and a control VM leads.
    void startAll();

    /// Waits until a control VM leads with a quorum.
    void waitForLeader() const;

    /// Starts a stand-in of a service that announces itself to the given entry VMs in turn; gives its name.
    std::string startUpstream(const std::string &service, const std::vector<std::string> &entries,
                              const std::vector<std::string> &extraOptions = {});

    /// Starts a stand-in and waits until it listens; a name may be used again once its process has ended.
    void startStandIn(const stand_in_launch &upstream);

    /// Sends a signal to a process.
    void signal(const std::string &name, int number);

    /// Waits for a process to end; false when it runs on after the limit.
    bool waitForExit(const std::string &name, duration limit);

    /// Kills a process at once and waits for its end.
    void kill(const std::string &name);

    /// Runs an operator command against all control VMs; whatever its exit status is.
    operator_outcome tryOperatorCommand(const std::vector<std::string> &arguments);

    /// Runs an operator command against all control VMs; throws when it fails.
    void runOperatorCommand(const std::vector<std::string> &arguments);

    /// Runs operator commands at once against all control VMs; gives their exit statuses.
    std::vector<int> runOperatorCommandsConcurrently(const std::vector<std::vector<std::string>> &commands) const;

    /// Latest accepted revision that the leader names; 0 when none leads.
    std::uint64_t acceptedRevision() const;

    /// Removes the data folder of a control VM that doesn't run.
    void removeDataFolder(const std::string &control) const;

    /// Port that a stand-in listens on.
    std::uint16_t upstreamPort(const std::string &upstream) const;

    /// Creates an account with a key "key-of-NAME-0123456789" and gives the key.
    std::string createAccount(const std::string &name);

    /// Request to an entry VM; key may be empty. Throws coordination_error when there is no whole answer.
    http_answer request(const std::string &entry, std::string_view method, std::string_view target,
                        std::string_view key = {}, std::string_view body = {}) const;

    /// POST with an idempotency key.
    http_answer post(const std::string &entry, std::string_view target, std::string_view key, std::string_view body,
                     const std::string &idempotencyKey) const;

    /// Request to a control VM as an operator.
    http_answer requestControl(const std::string &control, std::string_view method, std::string_view target,
                               std::string_view body = {}) const;

    /// Sum of a counter's or gauge's rows on a VM's metrics page; 0 when it isn't there.
    double metricSum(const std::string &vm, std::string_view name) const;

    /// Process id of a VM.
    int processId(const std::string &vm) const;

    /// Request to a stand-in's own pages.
    http_answer requestUpstream(const std::string &upstream, std::string_view method, std::string_view target) const;

    /// Waits until condition holds, asking again and again; throws with what when it doesn't within 20 s.
    static void waitUntil(std::string_view what, const std::function<bool()> &condition);

    /// Waits until an entry VM answers the request with the status.
    void waitForStatus(const std::string &entry, std::string_view target, std::string_view key, int status) const;

    /// Ports of a VM.
    const vm_ports &portsOf(const std::string &vm) const;

    /// Entry VMs' names.
    const std::vector<std::string> &entries() const;

    /// Control VMs' names.
    const std::vector<std::string> &controls() const;

    /// Where logs, settings and data of this fleet are.
    const std::filesystem::path &folder() const;

private:
    void writeSettings(const std::string &name, bool control, const std::string &dataCentre) const;
    std::string leaderStatus() const;
    std::vector<std::string> operatorArguments(const std::vector<std::string> &command) const;
    void startProcess(const std::string &name, const std::string &program, const std::vector<std::string> &arguments);

    std::string advertisedPeerAddress(const std::string &vm) const;

    std::map<std::string, std::uint16_t> m_peerRelays; ///< As in the layout.
    std::uint64_t m_balancerGraceMs; ///< Of the entry VMs.
    std::filesystem::path m_folder; ///< Removed at the end.
    std::vector<std::string> m_controls; ///< In start order.
    std::vector<std::string> m_entries; ///< In start order.
    std::map<std::string, vm_ports> m_ports; ///< By VM.
    std::map<std::string, std::uint16_t> m_upstreamPorts; ///< By stand-in.
    std::map<std::string, std::unique_ptr<child_process>> m_processes; ///< By name.
    std::size_t m_standInCount = 0; ///< Stand-ins ever started.
    std::size_t m_operatorCommandCount = 0; ///< Operator commands ever run.
};

/// Body of an answer as text.
std::string bodyOf(const http_answer &answer);

} // namespace guavafront
