#pragma once

#include "http/http_message.h"
#include "settings/endpoint.h"

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavafront
{

class child_process;

/// One request to an entry VM, as its client saw it.
struct client_request {
    instant sentAt{}; ///< When it was sent.
    instant endedAt{}; ///< When its answer was complete or its connection had ended.
    int status = 0; ///< HTTP status of the answer; 0 when none came.
    std::string retryAfter; ///< Retry-After field of the answer; empty when it has none.
    bool outcomeUnknown = false; ///< No answer came, but some of the request's bytes may have been sent.
};

/// What an instance says of itself in a heartbeat.
struct heartbeat {
    std::string state = "ready"; ///< State: ready or draining.
    std::uint64_t born = 1; ///< Start of its process in Unix milliseconds.
    std::uint64_t sequence = 1; ///< Number of the heartbeat.
    int slots = 4; ///< Requests that it runs at the same time.
    std::string zone = "occ-a"; ///< Data centre that it runs in.
};

/// Runs `guavafront platform` as control and entry VMs, with stand-ins as the platform's instances. All of
/// them listen on loopback IP numbers of their own, and the test plays the platform's operator and sends the
/// instances' heartbeats. The destructor kills the processes and removes the folder with their logs, unless
/// GUAVAFRONT_KEEP_TEST_FOLDERS is set in the environment.
class platform_processes
{
public:
    static constexpr std::size_t entryMemoryMb = 160; ///< Memory of an entry VM by its settings, in MiB.
    static constexpr std::size_t controlMemoryMb = 256; ///< The same of a control VM.

    /// Starts the control VMs "control-1" and so on and the entry VMs "entry-1" and so on, without a configuration.
    platform_processes(std::size_t controls, std::size_t entries);
    ~platform_processes();
    platform_processes(const platform_processes &) = delete;
    platform_processes &operator=(const platform_processes &) = delete;

    /// Sends the operator's configuration until it is acknowledged, then waits until all entry VMs are ready.
    void configure();

    /// Sends the operator's configuration under a version and returns the status of the answer, 0 for none. Its routes
    /// are public: requests on /safe/ may be repeated, those on /once/ may not; both go to the service "rutas".
    int putConfiguration(std::uint64_t version) const;

    /// Starts a stand-in of the service "rutas" with this instance id, and sends its first heartbeat.
    void startInstance(const std::string &id, const std::vector<std::string> &extraOptions = {},
                       const heartbeat &first = {});

    /// Returns the IP number for an instance that the test itself plays.
    std::string reserveInstance(const std::string &id);

    /// Announces such an instance of the service "rutas", which listens on the port.
    void announceReserved(const std::string &id, std::uint16_t port);

    /// Sends a heartbeat of an instance to a control VM and returns the status of the answer, 0 for none.
    int sendHeartbeat(const std::string &id, const heartbeat &beat) const;

    /// Sends a heartbeat of an instance to one control VM and returns the status of the answer, 0 for none.
    int sendHeartbeatTo(const std::string &control, const std::string &id, const heartbeat &beat) const;

    /// Posts any body to one control VM as the call with this name, for the instance `of` unless that is empty. Returns
    /// the status of the answer, 0 for none.
    int callControlAt(const std::string &control, std::string_view call, std::string_view of,
                      std::string_view body) const;

    /// Sends an evacuation call as an operator does: to each control VM in turn, following two redirects, until one
    /// answers below 500 or the time of 4 s is used up. Returns the last status, 0 for none.
    int orderEvacuation(std::string_view call, std::string_view zone) const;

    /// Posts any body to a control VM as the call with this name, for the instance `of` unless that is empty. Returns
    /// the status of the answer, 0 for none.
    int callControl(std::string_view call, std::string_view of, std::string_view body) const;

    /// Sends a query such as "leaving=1" to the /control path of an instance's stand-in.
    void controlInstance(const std::string &id, std::string_view query) const;

    /// Times at which requests reached the instance, in order.
    std::vector<instant> arrivalsAt(const std::string &id) const;

    /// Times and Request-Ids of the requests that reached the instance, in order.
    std::vector<std::pair<instant, std::string>> requestsAt(const std::string &id) const;

    /// Sends a request with a deadline to an entry VM over a new connection and waits for its end.
    client_request request(const std::string &entry, std::string_view method, const std::string &target,
                           duration deadline) const;

    /// Waits until the entry VM answers 200 on the target, at most 20 s; throws std::runtime_error otherwise.
    void waitUntilServed(const std::string &entry, const std::string &target) const;

    /// Folder in which a control VM keeps its data.
    std::filesystem::path dataFolderOf(const std::string &control) const;

    /// Address at which an entry VM listens for clients.
    endpoint clientEndpoint(const std::string &entry) const;

    /// Address at which a control VM listens for operators and instances.
    endpoint controlEndpoint(const std::string &control) const;

    /// Sum of all series of a counter or gauge whose line contains the text, on a VM's metrics page.
    double metricSum(const std::string &vm, std::string_view name, std::string_view label = {}) const;

    /// Starts a VM whose process has ended.
    void startVm(const std::string &name);

    /// Gives a VM that is started later its IP number. A name that begins with "control" is a control VM's.
    void reserveVm(const std::string &name);

    /// Folder with the settings, logs and data of all processes.
    const std::filesystem::path &folder() const;

    /// Starts a VM with the addresses of these control VMs as its seeds, whether they run or not. It founds no cluster.
    void startVmWithSeeds(const std::string &name, const std::vector<std::string> &seeds);

    /// Kills a control VM for good, and adds one at an address of its own, with an empty disk. Returns the name of the
    /// new one, which is still to be started.
    std::string replaceControl(const std::string &name);

    /// Names of the control VMs, without those that were replaced.
    const std::vector<std::string> &controls() const;

    /// Reads the configuration from a control VM, following two redirects, and returns its version; 0 without an
    /// answer.
    std::uint64_t versionAt(const std::string &control) const;

    /// Whether an entry VM says that it is ready.
    bool isReady(const std::string &entry) const;

    /// The process of a VM or of an instance.
    child_process &process(const std::string &name);

private:
    std::string ipOf(const std::string &name) const;
    void run(const std::string &name, const std::vector<std::string> &seeds, bool bootstrap);
    std::string bodyOfHeartbeat(const std::string &id, const heartbeat &beat) const;

    std::filesystem::path m_folder; ///< Temporary folder; removed by the destructor.
    std::vector<std::string> m_controls; ///< Names of the control VMs.
    std::vector<std::string> m_entries; ///< Names of the entry VMs.
    std::map<std::string, int> m_hosts; ///< Last part of the IP number, by VM or instance.
    std::map<std::string, std::uint16_t> m_instancePorts; ///< Port of each stand-in by instance id.
    std::map<std::string, std::unique_ptr<child_process>> m_processes; ///< Processes by name.
};

} // namespace guavafront
