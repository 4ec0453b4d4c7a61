#include "fleet/fleet_processes.h"
#include "wire/operator_json.h"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace guavafront
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t entryVms = 48;
constexpr std::size_t controlVms = 3;
constexpr std::size_t changesMeasured = 40;
constexpr std::uint64_t changesBeforeRestart = 800;
constexpr int restartsMeasured = 5;
constexpr int idleMilliseconds = 30'000;
constexpr int settleMilliseconds = 15'000;
constexpr int pollMilliseconds = 5;
constexpr int acceptedStatus = 202;
constexpr int okStatus = 200;

double secondsSince(clock::time_point start)
{
    return std::chrono::duration<double>(clock::now() - start).count();
}

/// Resources that a process has used since its start.
struct process_cost {
    double cpuSeconds = 0; ///< CPU time in user and system mode, in seconds.
    double residentMegabytes = 0; ///< Resident memory now, in MB.
    double bytes = 0; ///< Bytes of the bodies of messages to and from peers.
    double messages = 0; ///< Number of messages to and from peers.
};

/// Starts a fleet of processes and measures how long configuration changes take to reach all entry VMs, and at what
/// cost.
class spread_measurement
{
public:
    spread_measurement()
    {
        m_fleet.startAll();
        fleet_processes::waitUntil("three voters", [this] {
            const json members =
                json::parse(bodyOf(m_fleet.requestControl("control-1", "GET", "/v1/status")))["members"];
            return std::ranges::count(members, true, [](const json &each) { return each["votes"].get<bool>(); })
                   == std::ptrdiff_t{controlVms};
        });
        fleet_processes::waitUntil("a leader", [this] { return findLeader(); });
        acceptChange();
        fleet_processes::waitUntil("all entry VMs confirm", [this] { return confirmations()["state"] == "in_force"; });
    }

    void measureIdle(const char *when)
    {
        poll(nullptr, 0, settleMilliseconds);
        std::map<std::string, process_cost> before = costs();
        const clock::time_point start = clock::now();
        poll(nullptr, 0, idleMilliseconds);
        std::map<std::string, process_cost> after = costs();
        const double seconds = secondsSince(start);
        printIdle(when, "entry", m_fleet.entries(), before, after, seconds);
        printIdle(when, "control", m_fleet.controls(), before, after, seconds);
    }

    void measureSpread(const char *when, const std::string &down)
    {
        std::vector<double> times;
        for (std::size_t i = 0; i < changesMeasured; ++i) {
            acceptChange();
            const clock::time_point start = clock::now();
            while (!inForceExceptOn(down)) {
                poll(nullptr, 0, pollMilliseconds);
            }
            times.push_back(secondsSince(start));
        }
        std::ranges::sort(times);
        std::printf("accepted to in force on the last entry, %s: p50 %.3f s, worst %.3f s of %zu\n", when,
                    times[times.size() / 2], times.back(), times.size());
    }

    void measureChanges()
    {
        const std::uint64_t first = m_revision;
        const clock::time_point start = clock::now();
        while (m_revision - first < changesBeforeRestart) {
            acceptChange();
        }
        const double seconds = secondsSince(start);
        std::printf("changes one after the other by HTTP: %.0f changes/s\n",
                    static_cast<double>(changesBeforeRestart) / seconds);
        fleet_processes::waitUntil("all entry VMs confirm", [this] { return inForceExceptOn({}); });
        std::printf("last of %zu in force on all entries %.3f s after it was accepted\n",
                    std::size_t{changesBeforeRestart}, secondsSince(start) - seconds);
    }

    void measureRestart(const std::string &entry)
    {
        std::vector<double> times;
        for (int i = 0; i < restartsMeasured; ++i) {
            m_fleet.kill(entry);
            const clock::time_point start = clock::now();
            m_fleet.start(entry);
            fleet_processes::waitUntil("restarted entry holds the configuration", [this, &entry] {
                return m_fleet.metricSum(entry, "guavafront_configuration_revision") >= static_cast<double>(m_revision);
            });
            times.push_back(secondsSince(start));
        }
        std::ranges::sort(times);
        std::printf("entry restarted at revision %llu: holds it p50 %.3f s, worst %.3f s of %zu\n",
                    static_cast<unsigned long long>(m_revision), times[times.size() / 2], times.back(), times.size());
    }

    void kill(const std::string &vm)
    {
        m_fleet.kill(vm);
    }

    void startAgain(const std::string &vm)
    {
        m_fleet.start(vm);
        fleet_processes::waitUntil("all entry VMs confirm", [this] { return inForceExceptOn({}); });
    }

private:
    bool findLeader()
    {
        for (const std::string &control : m_fleet.controls()) {
            const json status = json::parse(bodyOf(m_fleet.requestControl(control, "GET", "/v1/status")));
            if (status["leader"].get<bool>()) {
                m_leader = control;
                m_revision = status["revision"].get<std::uint64_t>();
                return true;
            }
        }
        return false;
    }

    void acceptChange()
    {
        const change_request request{.id = {1, ++m_changes},
                                     .expectedRevision = {m_revision},
                                     .changes = {create_account{"account-" + std::to_string(m_changes)}}};
        const http_answer answer = m_fleet.requestControl(m_leader, "POST", "/v1/changes", toJson(request));
        if (answer.status != okStatus) {
            throw std::runtime_error("change refused: " + bodyOf(answer));
        }
        ++m_revision;
    }

    json confirmations() const
    {
        const http_answer answer =
            m_fleet.requestControl(m_leader, "GET", "/v1/confirmations?revision=" + std::to_string(m_revision));
        if (answer.status != okStatus && answer.status != acceptedStatus) {
            throw std::runtime_error("no confirmations: " + bodyOf(answer));
        }
        return json::parse(bodyOf(answer));
    }

    /// Whether all entry VMs, except perhaps the named one, have confirmed the last accepted revision.
    bool inForceExceptOn(const std::string &down) const
    {
        const json answer = confirmations();
        return std::ranges::all_of(answer["not_confirmed"], [&down](const json &vm) { return vm["name"] == down; })
               && !answer.contains("text");
    }

    process_cost costOf(const std::string &vm) const
    {
        const std::string folder = "/proc/" + std::to_string(m_fleet.processId(vm));
        process_cost cost;
        std::ifstream stat(folder + "/stat");
        std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        constexpr int fieldsBeforeTimes = 11;
        std::string skipped;
        for (int i = 0; i < fieldsBeforeTimes; ++i) {
            fields >> skipped;
        }
        double user = 0;
        double system = 0;
        fields >> user >> system;
        cost.cpuSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
        std::ifstream memory(folder + "/statm");
        double pages = 0;
        memory >> pages >> pages;
        cost.residentMegabytes = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
        cost.bytes = m_fleet.metricSum(vm, "guavafront_peer_sent_bytes_total")
                     + m_fleet.metricSum(vm, "guavafront_peer_received_bytes_total");
        cost.messages = m_fleet.metricSum(vm, "guavafront_peer_messages_sent_total")
                        + m_fleet.metricSum(vm, "guavafront_peer_messages_received_total");
        return cost;
    }

    std::map<std::string, process_cost> costs() const
    {
        std::map<std::string, process_cost> all;
        for (const auto &vms : {m_fleet.entries(), m_fleet.controls()}) {
            for (const std::string &vm : vms) {
                all[vm] = costOf(vm);
            }
        }
        return all;
    }

    static void printIdle(const char *when, const char *role, const std::vector<std::string> &vms,
                          std::map<std::string, process_cost> &before, std::map<std::string, process_cost> &after,
                          double seconds)
    {
        process_cost sum;
        process_cost most;
        std::string busiest;
        for (const std::string &vm : vms) {
            const double cpu = after[vm].cpuSeconds - before[vm].cpuSeconds;
            const double bytes = after[vm].bytes - before[vm].bytes;
            sum.cpuSeconds += cpu;
            sum.bytes += bytes;
            sum.messages += after[vm].messages - before[vm].messages;
            busiest = cpu > most.cpuSeconds ? vm : busiest;
            most.cpuSeconds = std::max(most.cpuSeconds, cpu);
            most.bytes = std::max(most.bytes, bytes);
            most.residentMegabytes = std::max(most.residentMegabytes, after[vm].residentMegabytes);
        }
        const double whole = seconds * static_cast<double>(vms.size());
        std::printf("idle %s, %s: %.0f B/s in %.1f messages/s (most %.0f B/s), %.2f%% of a core (most %.2f%%, %s), "
                    "at most %.1f MB\n",
                    role, when, sum.bytes / whole, sum.messages / whole, most.bytes / seconds,
                    100 * sum.cpuSeconds / whole, 100 * most.cpuSeconds / seconds, busiest.c_str(),
                    most.residentMegabytes);
    }

    fleet_processes m_fleet{fleet_layout{.controls = controlVms, .entries = entryVms}};
    std::string m_leader; ///< Name of the control VM that leads.
    std::uint64_t m_revision = 0; ///< Last accepted revision.
    std::uint64_t m_changes = 0; ///< Number of changes sent so far.
};

} // namespace

} // namespace guavafront

int main()
{
    using namespace guavafront;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::string down = "entry-7";
    spread_measurement measurement;
    measurement.measureIdle("at few accounts");
    measurement.measureSpread("all VMs up", {});
    measurement.kill(down);
    measurement.measureSpread("one entry killed", down);
    measurement.startAgain(down);
    measurement.measureChanges();
    measurement.measureRestart("entry-9");
    measurement.measureIdle("after 800 changes");
    return 0;
}
