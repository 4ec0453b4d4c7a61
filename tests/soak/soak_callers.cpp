#include "soak/soak_callers.h"

#include "fleet/fleet_processes.h"
#include "fleet/platform_processes.h"
#include "http/http_call.h"
#include "runtime/loop.h"
#include "soak/soak_bounds.h"
#include "soak/soak_configuration.h"
#include "soak/soak_evacuations.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <random>
#include <thread>

namespace guavafront
{

namespace
{

constexpr duration operatorPatience = seconds(1);
constexpr duration retryPause = milliseconds(300); ///< After an answer that isn't clear.
constexpr duration nextPause = milliseconds(100); ///< After a VM that gave none.
constexpr duration readPause = milliseconds(120);
constexpr duration requestPause = milliseconds(15);
constexpr duration deadline = seconds(2);
constexpr duration heartbeatPeriod = milliseconds(1'000);
constexpr int redirects = 2;
constexpr int orderTries = 20;
constexpr int statusRedirect = 307;

void sleepUntil(instant time)
{
    const duration left = time - loop::now();
    if (left > duration::zero()) {
        std::this_thread::sleep_for(left);
    }
}

/// Control VM that a redirect names; empty when it names none.
std::optional<endpoint> redirectOf(const http_answer &answer)
{
    const std::string location(headerValue(viewsOf(answer.headers), "Location"));
    constexpr std::string_view scheme = "http://";
    if (!location.starts_with(scheme)) {
        return std::nullopt;
    }
    return parseEndpoint(location.substr(scheme.size(), location.find('/', scheme.size()) - scheme.size()));
}

bool isClear(int status)
{
    return status == statusOk || status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

std::string documentOf(const soak_scene &scene, std::size_t change, std::uint64_t version)
{
    return documentOf(scene.plan.changes[change], version, scene.hosts);
}

/// Whether a document that was read is the one that the plan holds for its version.
bool isAsSent(const soak_scene &scene, const nlohmann::json &document, std::uint64_t version)
{
    for (std::size_t index = 0; index < scene.plan.changes.size(); ++index) {
        const planned_change &change = scene.plan.changes[index];
        if (change.kind == change_kind::Valid && change.version == version) {
            return nlohmann::json::parse(documentOf(scene, index, version)) == document;
        }
    }
    return false;
}

/// Routes that a client asks for in turn: the first ones often, the latest ones, and baits.
int routeOf(const soak_plan &plan, std::size_t number, std::size_t reached, std::mt19937_64 &random)
{
    constexpr std::size_t turns = 8;
    constexpr std::size_t span = 4; // Changes around the latest one whose routes are asked for.
    const std::size_t turn = number % turns;
    if (turn < 2) {
        return 0;
    }
    const std::size_t least = reached > span ? reached - span : 0;
    const planned_change &change = plan.changes[std::min(least + random() % (2 * span), plan.changes.size() - 1)];
    if (change.baitRoute >= 0) {
        return -1 - change.baitRoute;
    }
    return change.routes.empty() ? 0 : change.routes[random() % change.routes.size()];
}

std::string prefixOfAny(int route, bool once)
{
    if (route == 0) {
        return once ? "/once/" : "/safe/";
    }
    return route > 0 ? prefixOf(route) : baitPrefixOf(-1 - route);
}

} // namespace

operator_answer callAsOperator(const platform_processes &fleet, const std::string &control, std::string_view call,
                               std::string_view body)
{
    endpoint asked = fleet.controlEndpoint(control);
    operator_answer seen{.vm = control};
    const std::string target = "/api/rpc?call=" + std::string(call);
    for (int turn = 0; turn <= redirects; ++turn) {
        try {
            const http_answer answer =
                httpCall(asked, {.method = "POST", .target = target, .body = body, .timeout = operatorPatience});
            seen.status = answer.status;
            seen.body = bodyOf(answer);
            const std::optional<endpoint> next = redirectOf(answer);
            if (answer.status != statusRedirect || !next) {
                return seen;
            }
            asked = *next;
            seen.vm = control + " by " + next->ip;
        } catch (const coordination_error &) {
            seen.status = 0; // It isn't running, or doesn't answer.
            return seen;
        }
    }
    return seen;
}

bool sendChange(const soak_scene &scene, std::size_t change, std::uint64_t version, bool again, int tries,
                std::size_t firstControl, std::vector<sent_change> &seen)
{
    const std::string document = documentOf(scene, change, version);
    for (int attempt = 0; attempt < tries; ++attempt) {
        const std::string &control =
            scene.controls[(firstControl + static_cast<std::size_t>(attempt)) % scene.controls.size()];
        sent_change sent{.change = change, .version = version, .again = again, .sentAt = loop::now()};
        const operator_answer answer = callAsOperator(scene.fleet, control, "config.put", document);
        sent.endedAt = loop::now();
        sent.status = answer.status;
        sent.vm = answer.vm;
        seen.push_back(sent);
        if (isClear(answer.status)) {
            return answer.status == statusOk;
        }
        std::this_thread::sleep_for(answer.status == 0 ? nextPause : retryPause);
    }
    return false;
}

operator_answer readConfiguration(const soak_scene &scene, const std::string &control, std::vector<seen_read> &seen)
{
    seen_read read{.sentAt = loop::now()};
    operator_answer answer = callAsOperator(scene.fleet, control, "config.get", "{}");
    read.endedAt = loop::now();
    read.vm = answer.vm;
    if (answer.status == statusOk) {
        const nlohmann::json document = nlohmann::json::parse(answer.body, nullptr, false);
        read.version = document.is_object() ? document.value("Version", std::uint64_t{0}) : 0;
        read.asSent = isAsSent(scene, document, read.version);
        seen.push_back(read);
    }
    return answer;
}

void playOperator(const std::stop_token &stop, const soak_scene &scene, int sender, std::vector<sent_change> &seen)
{
    std::mt19937_64 random(scene.plan.seed + static_cast<std::uint64_t>(sender));
    std::vector<std::size_t> acknowledged; // Changes in the order of their acknowledgements.
    for (const planned_order &order : scene.plan.orders) {
        if (order.sender != sender || stop.stop_requested()) {
            continue;
        }
        sleepUntil(scene.startedAt + order.at);
        std::size_t change = order.change;
        const std::size_t back = order.action == operator_action::SendOlder ? 2 : 1;
        if (order.action != operator_action::Send && acknowledged.size() < back) {
            continue;
        }
        if (order.action == operator_action::SendAgain || order.action == operator_action::SendOlder) {
            change = acknowledged[acknowledged.size() - back];
        }
        const std::uint64_t version = order.action == operator_action::SendOther
                                          ? scene.plan.changes[acknowledged.back()].version
                                          : scene.plan.changes[change].version;
        const bool again = order.action != operator_action::Send;
        const bool done = sendChange(scene, change, version, again, orderTries, random() % scene.controls.size(), seen);
        if (done && !again && scene.plan.changes[change].kind == change_kind::Valid) {
            acknowledged.push_back(change);
        }
    }
}

void playReader(const std::stop_token &stop, const soak_scene &scene, std::size_t first, std::vector<seen_read> &seen)
{
    for (std::size_t number = first; !stop.stop_requested(); ++number) {
        readConfiguration(scene, scene.controls[number % scene.controls.size()], seen);
        std::this_thread::sleep_for(readPause);
    }
}

void playClient(const std::stop_token &stop, const soak_scene &scene, const std::string &entry, duration runTime,
                std::vector<seen_request> &seen)
{
    std::mt19937_64 random(scene.plan.seed);
    const auto runMs = std::chrono::duration_cast<milliseconds>(runTime).count();
    std::size_t reached = 0; // Orders whose time has come.
    for (std::size_t number = 0; !stop.stop_requested(); ++number) {
        while (reached < scene.plan.orders.size() && scene.startedAt + scene.plan.orders[reached].at < loop::now()) {
            ++reached;
        }
        const std::size_t latest = reached == 0 ? 0 : scene.plan.orders[reached - 1].change;
        seen_request request{.vm = entry, .route = routeOf(scene.plan, number, latest, random)};
        request.once = request.route == 0 && random() % 2 == 0;
        request.id = prefixOfAny(request.route, request.once) + entry + '-' + std::to_string(runMs) + '-'
                     + std::to_string(number) + "?ms=" + std::to_string(runMs);
        const client_request answer = scene.fleet.request(entry, "GET", request.id, deadline);
        request.sentAt = answer.sentAt;
        request.endedAt = answer.endedAt;
        request.status = answer.status;
        request.cut = answer.outcomeUnknown;
        seen.push_back(request);
        std::this_thread::sleep_for(requestPause);
    }
}

void playInstance(const std::stop_token &stop, const soak_scene &scene, const std::string &instance)
{
    constexpr int slots = 64;
    std::size_t control = 0;
    for (heartbeat beat{.sequence = 2, .slots = slots, .zone = zoneOf(scene, instance)}; !stop.stop_requested();
         ++beat.sequence) {
        for (std::size_t tries = 0; tries < scene.controls.size(); ++tries) {
            if (scene.fleet.sendHeartbeatTo(scene.controls[control], instance, beat) == statusOk) {
                break;
            }
            control = (control + 1) % scene.controls.size();
        }
        std::this_thread::sleep_for(heartbeatPeriod);
    }
}

} // namespace guavafront
