#include "fleet/platform_processes.h"

#include "fleet/child_process.h"
#include "fleet/fleet_processes.h"
#include "fleet/test_resources.h"
#include "http/http_call.h"
#include "runtime/loop.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace guavafront
{

namespace
{

/// Every VM has an IP number of its own, so that the ports can be the same for all.
constexpr std::uint16_t peersPort = 7'560;
constexpr std::uint16_t controlPort = 7'500;
constexpr std::uint16_t clientsPort = 7'580;
constexpr std::uint16_t readyPort = 7'600;
constexpr int graceSeconds = 6;
constexpr duration operatorPatience = std::chrono::seconds(1); ///< Time after which a caller asks the next VM.
constexpr int statusOk = 200;
constexpr int statusRedirect = 307;
constexpr int firstServerError = 500;

nlohmann::json ruleFor(std::string_view name, std::string_view kind, std::string_view prefix)
{
    return {{"Name", name},
            {"Kind", kind},
            {"TargetLatencyMs", 1'000},
            {"Priority", 0},
            {"Public", true},
            {"Match", {{"PathPrefix", prefix}}},
            {"Action", {{"Service", "rutas"}, {"TimeoutMs", 6'000}, {"MaxAttempts", 3}}}};
}

} // namespace

platform_processes::platform_processes(std::size_t controls, std::size_t entries)
    : m_folder(makeTemporaryFolder())
{
    for (std::size_t number = 1; number <= controls; ++number) {
        m_controls.push_back("control-" + std::to_string(number));
        m_hosts[m_controls.back()] = static_cast<int>(m_hosts.size()) + 1;
    }
    for (std::size_t number = 1; number <= entries; ++number) {
        m_entries.push_back("entry-" + std::to_string(number));
        m_hosts[m_entries.back()] = static_cast<int>(m_hosts.size()) + 1;
    }
    for (const auto &[name, host] : m_hosts) {
        startVm(name);
    }
}

platform_processes::~platform_processes()
{
    m_processes.clear();
    std::error_code ignored;
    if (!std::getenv("GUAVAFRONT_KEEP_TEST_FOLDERS")) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::string platform_processes::ipOf(const std::string &name) const
{
    // The IP numbers depend on the process, since several test programs run at the same time.
    constexpr int span = 200;
    const int own = static_cast<int>(getpid());
    return "127." + std::to_string(10 + own % span) + '.' + std::to_string(10 + own / span % span) + '.'
           + std::to_string(m_hosts.at(name));
}

void platform_processes::reserveVm(const std::string &name)
{
    m_hosts.try_emplace(name, static_cast<int>(m_hosts.size()) + 1);
}

const std::filesystem::path &platform_processes::folder() const
{
    return m_folder;
}

void platform_processes::startVm(const std::string &name)
{
    run(name, m_controls, true);
}

void platform_processes::startVmWithSeeds(const std::string &name, const std::vector<std::string> &seeds)
{
    run(name, seeds, false);
}

std::string platform_processes::replaceControl(const std::string &name)
{
    process(name).signal(SIGKILL);
    process(name).waitForExit(std::chrono::seconds(2));
    const int host = static_cast<int>(m_hosts.size()) + 1;
    const auto place = std::ranges::find(m_controls, name);
    *place = "control-" + std::to_string(host);
    m_hosts[*place] = host;
    return *place;
}

const std::vector<std::string> &platform_processes::controls() const
{
    return m_controls;
}

std::uint64_t platform_processes::versionAt(const std::string &control) const
{
    constexpr int maxRedirects = 2;
    endpoint server = controlEndpoint(control);
    try {
        for (int redirects = 0; redirects <= maxRedirects; ++redirects) {
            const http_answer answer = httpCall(
                server,
                {.method = "POST", .target = "/api/rpc?call=config.get", .body = "{}", .timeout = operatorPatience});
            if (answer.status == statusOk) {
                return nlohmann::json::parse(bodyOf(answer)).at("Version").get<std::uint64_t>();
            }
            constexpr std::string_view scheme = "http://";
            const std::string location(headerValue(viewsOf(answer.headers), "Location"));
            if (answer.status != statusRedirect || !location.starts_with(scheme)) {
                break;
            }
            const std::size_t path = location.find('/', scheme.size());
            server = parseEndpoint(location.substr(scheme.size(), path - scheme.size())).value();
        }
    } catch (const coordination_error &) {
        return 0; // A control VM isn't running, or doesn't answer.
    }
    return 0;
}

bool platform_processes::isReady(const std::string &entry) const
{
    try {
        return httpCall({ipOf(entry), readyPort}, {.method = "GET", .target = "/api/readyz"}).status == statusOk;
    } catch (const coordination_error &) {
        return false;
    }
}

void platform_processes::run(const std::string &name, const std::vector<std::string> &seeds, bool bootstrap)
{
    const std::string ip = ipOf(name);
    const bool control = name.starts_with("control");
    const auto address = [&ip](std::uint16_t port) {
        return ip + ':' + std::to_string(port);
    };
    nlohmann::json seedAddresses = nlohmann::json::array();
    for (const std::string &each : seeds) {
        seedAddresses.push_back(ipOf(each) + ':' + std::to_string(controlPort));
    }
    nlohmann::json settings{{"Node", name},
                            {"Ip", ip},
                            {"Zone", "occ-a"},
                            {"InternalPorts", {peersPort, peersPort + 1}},
                            {"Serves", {control ? "control_plane" : "edge"}},
                            {"Listen", {{"Ready", address(readyPort)}}},
                            {"Zones", {{"occ-a", nlohmann::json::object()}, {"occ-b", nlohmann::json::object()}}},
                            {"Seeds", seedAddresses},
                            {"Limits", {{"MemoryMb", control ? controlMemoryMb : entryMemoryMb}}},
                            {"Bounds", {{"GraceS", graceSeconds}}},
                            {"Bootstrap", bootstrap}};
    if (control) {
        settings["Listen"]["Control"] = address(controlPort);
        settings["DataDir"] = dataFolderOf(name).string();
        std::filesystem::create_directories(dataFolderOf(name));
    } else {
        settings["Listen"]["Front"] = address(clientsPort);
    }
    const std::string settingsFile = (m_folder / (name + ".json")).string();
    std::ofstream(settingsFile) << settings.dump(2);
    m_processes[name] = std::make_unique<child_process>(
        "/usr/bin/env", std::vector<std::string>{"GUAVAFRONT_SETTINGS=" + settingsFile, daemonProgram(), "platform"},
        m_folder.string(), (m_folder / (name + ".log")).string());
}

std::filesystem::path platform_processes::dataFolderOf(const std::string &control) const
{
    return m_folder / (control + "-data");
}

int platform_processes::putConfiguration(std::uint64_t version) const
{
    nlohmann::json listeners = nlohmann::json::array();
    for (const std::string &entry : m_entries) {
        listeners.push_back(
            {{"Host", ipOf(entry)},
             {"RuleSet", {ruleFor("r-safe", "idempotent", "/safe/"), ruleFor("r-once", "non_idempotent", "/once/")}}});
    }
    const nlohmann::json configuration{{"Version", version},
                                       {"Limits",
                                        {{"MaxHeaderBytes", 16'384},
                                         {"MaxBodyBytes", 1'048'576},
                                         {"HeaderTimeoutMs", 3'000},
                                         {"IdleTimeoutMs", 15'000}}},
                                       {"Listeners", listeners},
                                       {"Clusters",
                                        {{{"Name", "rutas"},
                                          {"HealthPath", "/healthz"},
                                          {"MaxConnections", 390},
                                          {"Protocol", "h1"},
                                          {"Tls", false}}}}};
    return callControl("config.put", {}, configuration.dump());
}

void platform_processes::configure()
{
    fleet_processes::waitUntil("the configuration is acknowledged", [this] { return putConfiguration(1) == statusOk; });
    for (const std::string &entry : m_entries) {
        fleet_processes::waitUntil(entry + " is ready", [this, &entry] {
            return httpCall({ipOf(entry), readyPort}, {.method = "GET", .target = "/api/readyz"}).status == statusOk;
        });
    }
}

std::string platform_processes::reserveInstance(const std::string &id)
{
    m_hosts.try_emplace(id, static_cast<int>(m_hosts.size()) + 1);
    return ipOf(id);
}

void platform_processes::announceReserved(const std::string &id, std::uint16_t port)
{
    m_instancePorts[id] = port;
    fleet_processes::waitUntil(id + " is registered", [this, &id] { return sendHeartbeat(id, {}) == statusOk; });
}

void platform_processes::startInstance(const std::string &id, const std::vector<std::string> &extraOptions,
                                       const heartbeat &first)
{
    if (!m_hosts.contains(id)) {
        m_hosts[id] = static_cast<int>(m_hosts.size()) + 1;
    }
    const std::filesystem::path portFile = m_folder / (id + ".port");
    std::filesystem::remove(portFile);
    std::vector<std::string> arguments{"--name", id, "--address", ipOf(id), "--port-file", portFile.string()};
    arguments.insert(arguments.end(), extraOptions.begin(), extraOptions.end());
    m_processes[id] = std::make_unique<child_process>(standInProgram(), arguments, m_folder.string(),
                                                      (m_folder / (id + ".log")).string());
    fleet_processes::waitUntil(id + " listens", [&portFile] { return std::filesystem::exists(portFile); });
    std::ifstream(portFile) >> m_instancePorts[id];
    fleet_processes::waitUntil(id + " is registered", [&] { return sendHeartbeat(id, first) == statusOk; });
}

std::string platform_processes::bodyOfHeartbeat(const std::string &id, const heartbeat &beat) const
{
    const nlohmann::json body{
        {"Service", "rutas"},  {"Address", ipOf(id) + ':' + std::to_string(m_instancePorts.at(id))},
        {"Zone", beat.zone},   {"Version", "v1"},
        {"Slots", beat.slots}, {"State", beat.state},
        {"WarmupLeftMs", 0},   {"Sequence", beat.sequence},
        {"born", beat.born}};
    return body.dump();
}

int platform_processes::sendHeartbeat(const std::string &id, const heartbeat &beat) const
{
    return callControl("instances.heartbeat", id, bodyOfHeartbeat(id, beat));
}

int platform_processes::sendHeartbeatTo(const std::string &control, const std::string &id, const heartbeat &beat) const
{
    return callControlAt(control, "instances.heartbeat", id, bodyOfHeartbeat(id, beat));
}

int platform_processes::callControlAt(const std::string &control, std::string_view call, std::string_view of,
                                      std::string_view body) const
{
    std::string target = "/api/rpc?call=" + std::string(call);
    if (!of.empty()) {
        target += "&of=" + std::string(of);
    }
    try {
        return httpCall({ipOf(control), controlPort},
                        {.method = "POST", .target = target, .body = body, .timeout = operatorPatience})
            .status;
    } catch (const coordination_error &) {
        return 0; // The control VM isn't running, or doesn't answer.
    }
}

int platform_processes::callControl(std::string_view call, std::string_view of, std::string_view body) const
{
    int status = 0;
    for (const std::string &control : m_controls) {
        status = callControlAt(control, call, of, body);
        // A control VM that isn't the leader redirects or fails.
        if (status != 0 && status != statusRedirect && status < firstServerError) {
            break;
        }
    }
    return status;
}

void platform_processes::controlInstance(const std::string &id, std::string_view query) const
{
    httpCall({ipOf(id), m_instancePorts.at(id)}, {.method = "GET", .target = "/control?" + std::string(query)});
}

std::vector<instant> platform_processes::arrivalsAt(const std::string &id) const
{
    std::vector<instant> times;
    for (const auto &[at, requestId] : requestsAt(id)) {
        times.push_back(at);
    }
    return times;
}

std::vector<std::pair<instant, std::string>> platform_processes::requestsAt(const std::string &id) const
{
    const http_answer answer = httpCall({ipOf(id), m_instancePorts.at(id)}, {.method = "GET", .target = "/arrivals"});
    std::vector<std::pair<instant, std::string>> requests;
    for (const nlohmann::json &each : nlohmann::json::parse(bodyOf(answer))) {
        requests.emplace_back(instant(duration(each.at("us").get<std::int64_t>())), each.at("request"));
    }
    return requests;
}

client_request platform_processes::request(const std::string &entry, std::string_view method, const std::string &target,
                                           duration deadline) const
{
    client_request seen{.sentAt = loop::now()};
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
    const std::vector<http_header> headers{{"Request-Id", target}, {"Request-Deadline-Ms", std::to_string(deadlineMs)}};
    try {
        const http_answer answer = httpCall(
            clientEndpoint(entry),
            {.method = method, .target = target, .headers = headers, .timeout = deadline + std::chrono::seconds(1)});
        seen.status = answer.status;
        seen.retryAfter = headerValue(viewsOf(answer.headers), "Retry-After");
    } catch (const coordination_error &failure) {
        seen.outcomeUnknown = failure.code() == result_code::OutcomeUnknown;
    }
    seen.endedAt = loop::now();
    return seen;
}

void platform_processes::waitUntilServed(const std::string &entry, const std::string &target) const
{
    fleet_processes::waitUntil(entry + " serves " + target, [&] {
        return request(entry, "GET", target, std::chrono::seconds(2)).status == statusOk;
    });
}

endpoint platform_processes::clientEndpoint(const std::string &entry) const
{
    return {ipOf(entry), clientsPort};
}

endpoint platform_processes::controlEndpoint(const std::string &control) const
{
    return {ipOf(control), controlPort};
}

double platform_processes::metricSum(const std::string &vm, std::string_view name, std::string_view label) const
{
    std::istringstream page(bodyOf(httpCall({ipOf(vm), readyPort}, {.method = "GET", .target = "/metrics"})));
    double sum = 0;
    for (std::string line; std::getline(page, line);) {
        const bool named = line.starts_with(name) && line.find_first_of(" {") == name.size();
        const bool labelled = label.empty() || line.find(label) != std::string::npos;
        sum += named && labelled ? std::stod(line.substr(line.rfind(' ') + 1)) : 0;
    }
    return sum;
}

child_process &platform_processes::process(const std::string &name)
{
    return *m_processes.at(name);
}

} // namespace guavafront
