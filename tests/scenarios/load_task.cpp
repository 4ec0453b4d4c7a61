#include "scenarios/load_task.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::size_t inboxCapacity = 64;
constexpr duration readinessPeriod = std::chrono::milliseconds(20);
constexpr duration readinessTimeout = std::chrono::milliseconds(500);
constexpr duration requestTimeout = std::chrono::seconds(20);
constexpr int okStatus = 200;

} // namespace

load::load(load_options options)
    : m_inbox(inboxCapacity)
    , m_thread([this, options = std::move(options)] {
        const load_task task(m_loop, options, m_inbox);
        m_loop.run();
    })
{
}

load::~load()
{
    m_loop.requestStop();
    m_thread.join();
}

std::size_t load::endedRequests()
{
    count_load message;
    std::future<std::size_t> answer = message.reply.get_future();
    m_inbox.post(std::move(message));
    return answer.get();
}

std::size_t load::vmsAnswering(int status)
{
    count_vms_answering message{.status = status, .reply = {}};
    std::future<std::size_t> answer = message.reply.get_future();
    m_inbox.post(std::move(message));
    return answer.get();
}

std::vector<load_result> load::finish()
{
    finish_load message;
    std::future<std::vector<load_result>> answer = message.reply.get_future();
    m_inbox.post(std::move(message));
    return answer.get();
}

load_task::load_task(loop &owner, load_options options, mailbox<load_message> &inbox)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_readinessChecks(m_options.vms.size())
    , m_callers(m_options.connections)
    , m_readinessTimer(owner, [this] { checkReadiness(); })
    , m_attachment(inbox, owner, [this](load_message message) { receive(std::move(message)); })
{
    for (load_caller &each : m_callers) {
        each.nextRequest = std::make_unique<timer>(m_loop, [this, &each] { send(each); });
        each.nextRequest->arm(duration::zero());
    }
    checkReadiness();
}

void load_task::receive(load_message message)
{
    std::visit([this](auto &each) { handle(each); }, message);
}

void load_task::handle(count_load &message)
{
    message.reply.set_value(m_results.size());
}

void load_task::handle(count_vms_answering &message)
{
    std::vector<int> latest(m_options.vms.size());
    for (const load_result &each : m_results) {
        latest[each.vm] = each.status;
    }
    message.reply.set_value(static_cast<std::size_t>(std::ranges::count(latest, message.status)));
}

void load_task::handle(finish_load &message)
{
    m_finish = std::move(message);
    finishWhenIdle();
}

void load_task::checkReadiness()
{
    for (std::size_t vm = 0; vm < m_readinessChecks.size(); ++vm) {
        if (!m_readinessChecks[vm]) {
            checkReadinessOf(vm);
        }
    }
    m_readinessTimer.arm(readinessPeriod);
}

void load_task::checkReadinessOf(std::size_t vm)
{
    const endpoint &at = m_options.vms[vm].metricsEndpoint;
    const std::string host = toText(at);
    const header_view headers[] = {{.name = "Host", .value = host}};
    m_readinessChecks[vm] = std::make_unique<upstream_connection>(
        m_loop, upstream_connection_options{.address = at.ip, .port = at.port}, [] {});
    m_readinessChecks[vm]->send(
        {.method = "GET", .target = "/ready", .headers = headers, .body = {}, .timeout = readinessTimeout},
        [this, vm](const upstream_outcome &outcome) {
            m_options.vms[vm].ready = outcome.result == upstream_result::Answered && outcome.answer.status == okStatus;
            m_readinessChecks[vm].reset();
        });
}

void load_task::connect(load_caller &caller)
{
    if (caller.connection && caller.connection->usable() && m_options.vms[caller.vm].ready) {
        return;
    }
    caller.connection.reset();
    const std::size_t count = m_options.vms.size();
    for (std::size_t tried = 0; tried < count; ++tried) {
        caller.vm = m_nextVm++ % count;
        if (m_options.vms[caller.vm].ready) {
            const endpoint &at = m_options.vms[caller.vm].callerEndpoint;
            caller.connection = std::make_unique<upstream_connection>(
                m_loop, upstream_connection_options{.address = at.ip, .port = at.port}, [] {});
            return;
        }
    }
}

void load_task::send(load_caller &caller)
{
    if (m_finish) {
        return;
    }
    connect(caller);
    if (!caller.connection) {
        caller.nextRequest->arm(readinessPeriod); // No VM is ready, so try again after the next check.
        return;
    }
    const std::string name = "load-" + std::to_string(++m_sent);
    const std::string authorization = "Bearer " + m_options.key;
    const std::string host = toText(m_options.vms[caller.vm].callerEndpoint);
    std::vector<header_view> headers{{.name = "Host", .value = host}, {.name = "X-Request-Id", .value = name}};
    if (!m_options.key.empty()) {
        headers.push_back({.name = "Authorization", .value = authorization});
    }
    if (m_options.claimed) {
        headers.push_back({.name = "Idempotency-Key", .value = name});
    }
    caller.running = true;
    caller.connection->send(
        {.method = m_options.method,
         .target = m_options.target,
         .headers = headers,
         .body = {},
         .timeout = requestTimeout},
        [this, &caller, name](const upstream_outcome &outcome) { recordResult(caller, name, outcome); });
}

void load_task::recordResult(load_caller &caller, const std::string &name, const upstream_outcome &outcome)
{
    const bool answered = outcome.result == upstream_result::Answered;
    m_results.push_back({.name = name,
                         .status = answered ? outcome.answer.status : 0,
                         .body = answered ? std::string(textOf(outcome.answer.body)) : std::string(),
                         .vm = caller.vm,
                         .endedAfter = loop::now() - m_begin});
    if (!outcome.reusable) {
        caller.connection.reset();
    }
    caller.running = false;
    caller.nextRequest->arm(m_options.pause);
    finishWhenIdle();
}

void load_task::finishWhenIdle()
{
    if (m_finish && std::ranges::none_of(m_callers, &load_caller::running)) {
        m_finish->reply.set_value(std::move(m_results));
        m_loop.stop();
    }
}

} // namespace guavafront
