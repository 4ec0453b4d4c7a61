#include "scenarios/scenario_run.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration callLimit = std::chrono::seconds(20);
constexpr duration resendLimit = std::chrono::seconds(20);
constexpr int okStatus = 200;
constexpr std::uint64_t inProgressStatus = 409;
constexpr std::size_t loggedBodyBytes = 200;

/// Sends a request to an entry VM and waits until it ends; status 0 stands for no complete answer.
call_result call(const endpoint &entry, const request_step &request, const std::string &key)
{
    std::vector<http_header> headers{{"X-Request-Id", request.name}};
    if (request.claimed) {
        headers.push_back({"Idempotency-Key", request.name});
    }
    try {
        const http_answer answer = httpCall(entry, {.method = request.method,
                                                    .target = request.target,
                                                    .token = key,
                                                    .headers = headers,
                                                    .timeout = callLimit});
        const std::string body = bodyOf(answer);
        return {.status = answer.status, .notRun = body.find("\"not_run\":true") != std::string::npos, .body = body};
    } catch (const coordination_error &) {
        return {}; // No complete answer was received.
    }
}

std::future<call_result> beginCall(const scenario_run &run, const std::string &entry, const request_step &request)
{
    const std::string key = keyOf(run, request.account);
    const endpoint at{"127.0.0.1", run.fleet.portsOf(entry).callers};
    return std::async(std::launch::async, [at, request, key] { return call(at, request, key); });
}

/// Whether an answer with status 200 belongs to the request: upstreams name the request in the body.
bool answerMatchesRequest(const request_step &request, const call_result &result)
{
    return result.status != okStatus || result.body.find("\"request\":\"" + request.name + "\"") != std::string::npos;
}

bool hasEnded(const std::future<call_result> &pending)
{
    return pending.valid() && pending.wait_for(duration::zero()) == std::future_status::ready;
}

void checkExpectation(const scenario_run &run, const sent_request &sent, const expectation &wanted)
{
    const call_result &result = sent.results.back();
    const std::string outcome =
        sent.request.name + " got " + std::to_string(result.status) + " " + result.body.substr(0, loggedBodyBytes);
    const bool statusAllowed =
        wanted.status.empty()
        || std::ranges::find(wanted.status, static_cast<std::uint64_t>(result.status)) != wanted.status.end();
    BOOST_TEST_MESSAGE(outcome);
    BOOST_CHECK_MESSAGE(statusAllowed, outcome);
    BOOST_CHECK_MESSAGE(wanted.notRun.empty() || result.notRun == (wanted.notRun == "true"), outcome);
    BOOST_CHECK_MESSAGE(answerMatchesRequest(sent.request, result), outcome);
    // While an answer is outstanding, that request may have run.
    const bool allNotRun = !sent.pending.valid() && std::ranges::all_of(sent.results, &call_result::notRun);
    BOOST_CHECK_MESSAGE(!allNotRun || runsOf(run, sent.request.name) == 0, "reported as not run, but ran: " + outcome);
    if (!wanted.sameAs.empty()) {
        BOOST_TEST(result.body == run.requests.at(wanted.sameAs).results.front().body);
    }
}

} // namespace

void perform(scenario_run &run, const request_step &step)
{
    sent_request &sent = run.requests[step.name];
    sent.request = step;
    sent.pending = beginCall(run, step.entry, step);
    if (!step.background) {
        perform(run, await_step{.request = step.name, .expect = step.expect});
    }
}

void perform(scenario_run &run, const await_step &step)
{
    sent_request &sent = run.requests.at(step.request);
    sent.results.push_back(sent.pending.get());
    checkExpectation(run, sent, step.expect);
}

void perform(scenario_run &run, const await_claimed_step &step)
{
    sent_request &sent = run.requests.at(step.request);
    std::future<call_result> duplicate = beginCall(run, sent.request.entry, sent.request);
    fleet_processes::waitUntil(step.request + " is claimed",
                               [&] { return hasEnded(duplicate) || hasEnded(sent.pending); });
    if (hasEnded(sent.pending)) {
        // The request that was sent later got the claim, so its answer is the one to await.
        std::swap(duplicate, sent.pending);
    }
    sent.results.push_back(duplicate.get());
    checkExpectation(run, sent, {.status = {inProgressStatus}, .notRun = "false", .sameAs = {}});
}

void perform(scenario_run &run, const await_runs_step &step)
{
    const sent_request &sent = run.requests.at(step.request);
    fleet_processes::waitUntil(step.request + " runs or ends",
                               [&] { return runsOf(run, step.request) >= step.runs || hasEnded(sent.pending); });
    if (runsOf(run, step.request) < step.runs) {
        perform(run, await_step{.request = step.request, .expect = {}});
        throw std::runtime_error(step.request + " ended before it ran: " + sent.results.back().body);
    }
}

void perform(scenario_run &run, const resend_step &step)
{
    sent_request &sent = run.requests.at(step.request);
    const instant end = loop::now() + resendLimit;
    do {
        sent.results.push_back(beginCall(run, step.entry, sent.request).get());
    } while (step.untilDecided && sent.results.back().notRun && loop::now() < end);
    checkExpectation(run, sent, step.expect);
}

} // namespace guavafront
