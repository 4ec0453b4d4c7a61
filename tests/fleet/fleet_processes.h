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

/// IP number and ports of one VM's listeners on loopback; a port of 0 means that the VM has no such listener.
struct vm_ports {
    std::string peersIp = "127.0.0.1"; ///< IP number that the listener for links between VMs is bound to.
    std::uint16_t callers = 0; ///< HTTP requests of callers; entry VMs only.
    std::uint16_t peers = 0; ///< Links between VMs.
    std::uint16_t operators = 0; ///< HTTP requests of operators; control VMs only.
    std::uint16_t announcements = 0; ///< HTTP announcements of upstream instances; entry VMs only.
    std::uint16_t metrics = 0; ///< HTTP pages /metrics, /live and /ready.
};

/// Number and placement of the VMs of a fleet under test.
struct fleet_layout {
    std::size_t controls = 1; ///< Number of control VMs.
    std::size_t entries = 2; ///< Number of entry VMs.
    std::size_t dataCentres = 3; ///< Number of data centres; VMs are assigned to them round-robin.
    std::uint64_t balancerGraceMs = 100; ///< Setting `entry.balancerGraceMs` of the entry VMs, in milliseconds.
    /// Port of the relay through which peers reach a VM, by VM name. Each VM listed here listens for peers on a
    /// loopback IP number of its own.
    std::map<std::string, std::uint16_t> peerRelays;
};

/// How to start one process of the stand-in upstream.
struct stand_in_launch {
    std::string name; ///< Name of the process, its log file and its instance.
    std::string service; ///< Service that it announces.
    /// Entry VMs that it announces itself to, one at a time; it goes on to the next when one does not answer.
    std::vector<std::string> entries;
    std::vector<std::string> extraOptions; ///< Further command-line options.
};

/// Result of an operator command.
struct operator_outcome {
    int exitStatus = 0; ///< Exit status of the command.
    std::string answer; ///< Last line that the command printed.
};

/// Runs the real daemons and stand-in upstreams as processes on loopback. Settings, logs and data are kept in a
/// temporary folder. The destructor kills the processes and removes the folder, unless GUAVAFRONT_KEEP_TEST_FOLDERS is
/// set in the environment. Processes are named "control-1", "entry-1", "upstream-1" and so on.
class fleet_processes
{
public:
    /// Writes the settings and secrets of all VMs; starts no process.
    explicit fleet_processes(const fleet_layout &layout);
    ~fleet_processes();
    fleet_processes(const fleet_processes &) = delete;
    fleet_processes &operator=(const fleet_processes &) = delete;

    /// Starts the daemon of the VM with this name.
    void start(const std::string &vm);

    /// Bootstraps the first control VM, starts all VMs and waits until they are live and a control VM is the leader.
    void startAll();

    /// Waits until a control VM reports that it is the leader, which requires a quorum.
    void waitForLeader() const;

    /// Starts a stand-in of a service under the next free name "upstream-N" and returns that name. It announces itself
    /// to the first entry VM and goes on to the next when one does not answer.
    std::string startUpstream(const std::string &service, const std::vector<std::string> &entries,
                              const std::vector<std::string> &extraOptions = {});

    /// Starts a stand-in and waits until it listens. A name may be used again once its process has ended.
    void startStandIn(const stand_in_launch &upstream);

    /// Sends the signal with this number to a process.
    void signal(const std::string &name, int number);

    /// Waits at most limit for a process to end; returns false when it still runs then.
    bool waitForExit(const std::string &name, duration limit);

    /// Kills a process with SIGKILL and waits for its end.
    void kill(const std::string &name);

    /// Runs an operator command with the addresses of all control VMs and returns its result, also when it fails.
    /// Throws when the command does not end within 20 s.
    operator_outcome tryOperatorCommand(const std::vector<std::string> &arguments);

    /// Runs an operator command with the addresses of all control VMs; throws when its exit status is not 0.
    void runOperatorCommand(const std::vector<std::string> &arguments);

    /// Runs several operator commands at the same time; returns their exit statuses in the order of commands.
    std::vector<int> runOperatorCommandsConcurrently(const std::vector<std::vector<std::string>> &commands) const;

    /// Latest accepted revision that the leader reports; 0 when there is no leader.
    std::uint64_t acceptedRevision() const;

    /// Removes the data folder of a control VM, as if its disk was lost. The VM must not be running.
    void removeDataFolder(const std::string &control) const;

    /// Port on which a stand-in listens.
    std::uint16_t upstreamPort(const std::string &upstream) const;

    /// Creates a client account with the key "key-of-NAME-0123456789" and returns the key.
    std::string createAccount(const std::string &name);

    /// Sends a request to an entry VM; an empty key sends none. Throws coordination_error when no complete answer
    /// arrives.
    http_answer request(const std::string &entry, std::string_view method, std::string_view target,
                        std::string_view key = {}, std::string_view body = {}) const;

    /// Sends a POST request with an idempotency key to an entry VM; fails as request() does.
    http_answer post(const std::string &entry, std::string_view target, std::string_view key, std::string_view body,
                     const std::string &idempotencyKey) const;

    /// Sends a request to a control VM with the operator token; fails as request() does.
    http_answer requestControl(const std::string &control, std::string_view method, std::string_view target,
                               std::string_view body = {}) const;

    /// Sum of all series of a counter or gauge on a VM's metrics page; 0 when the page has none.
    double metricSum(const std::string &vm, std::string_view name) const;

    /// Process ID of the daemon of a VM.
    int processId(const std::string &vm) const;

    /// Sends a request to a stand-in directly, without an entry VM.
    http_answer requestUpstream(const std::string &upstream, std::string_view method, std::string_view target) const;

    /// Evaluates condition every 20 ms until it is true. A coordination_error that it throws counts as false. Throws
    /// std::runtime_error, with what in its message, when the condition is still false after 20 s.
    static void waitUntil(std::string_view what, const std::function<bool()> &condition);

    /// Repeats a GET request to an entry VM until the answer has the status; fails as waitUntil() does.
    void waitForStatus(const std::string &entry, std::string_view target, std::string_view key, int status) const;

    /// Listener ports of a VM.
    const vm_ports &portsOf(const std::string &vm) const;

    /// Names of the entry VMs.
    const std::vector<std::string> &entries() const;

    /// Names of the control VMs.
    const std::vector<std::string> &controls() const;

    /// Folder with the logs, settings and data of this fleet.
    const std::filesystem::path &folder() const;

private:
    void writeSettings(const std::string &name, bool control, const std::string &dataCentre) const;
    std::string leaderStatus() const;
    std::vector<std::string> operatorArguments(const std::vector<std::string> &command) const;
    void startProcess(const std::string &name, const std::string &program, const std::vector<std::string> &arguments);

    /// Address at which peers reach a VM: its relay, if it has one, otherwise its own listener.
    std::string advertisedPeerAddress(const std::string &vm) const;

    std::map<std::string, std::uint16_t> m_peerRelays; ///< Relay ports by VM name; see fleet_layout::peerRelays.
    std::uint64_t m_balancerGraceMs; ///< Setting of the entry VMs, in milliseconds.
    std::filesystem::path m_folder; ///< Temporary folder; removed by the destructor.
    std::vector<std::string> m_controls; ///< Names of the control VMs, in ascending number.
    std::vector<std::string> m_entries; ///< Names of the entry VMs, in ascending number.
    std::map<std::string, vm_ports> m_ports; ///< Listener ports by VM name.
    std::map<std::string, std::uint16_t> m_upstreamPorts; ///< Port of each stand-in by its name.
    /// Processes by name, also those that have ended.
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
    std::size_t m_standInCount = 0; ///< Stand-ins started by startUpstream() so far; gives the next number.
    /// Operator commands run by tryOperatorCommand() so far; numbers their logs.
    std::size_t m_operatorCommandCount = 0;
};

/// Body of an HTTP answer as text.
std::string bodyOf(const http_answer &answer);

} // namespace guavafront
