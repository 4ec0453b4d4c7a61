#include "scenarios/load_task.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::size_t inboxCapacity = 64;
constexpr duration checkPeriod = std::chrono::milliseconds(20);
constexpr duration checkTimeout = std::chrono::milliseconds(500);
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

std::size_t load::ended()
{
    count_load question;
    std::future<std::size_t> answer = question.reply.get_future();
    m_inbox.post(std::move(question));
    return answer.get();
}

std::size_t load::vmsAnswering(int status)
{
    count_vms_answering question{.status = status, .reply = {}};
    std::future<std::size_t> answer = question.reply.get_future();
    m_inbox.post(std::move(question));
    return answer.get();
}

std::vector<load_result> load::finish()
{
    finish_load question;
    std::future<std::vector<load_result>> answer = question.reply.get_future();
    m_inbox.post(std::move(question));
    return answer.get();
}

load_task::load_task(loop &owner, load_options options, mailbox<load_message> &inbox)
    : m_loop(owner)
    , m_options(std::move(options))
    , m_checks(m_options.vms.size())
    , m_callers(m_options.connections)
    , m_checkAgain(owner, [this] { checkReady(); })
    , m_attachment(inbox, owner, [this](load_message message) { receive(std::move(message)); })
{
    for (caller &each : m_callers) {
        each.next = std::make_unique<timer>(m_loop, [this, &each] { send(each); });
        each.next->arm(duration::zero());
    }
    checkReady();
}

void load_task::receive(load_message message)
{
    std::visit([this](auto &each) { take(each); }, message);
}

void load_task::take(count_load &question)
{
    question.reply.set_value(m_results.size());
}

void load_task::take(count_vms_answering &question)
{
    std::vector<int> latest(m_options.vms.size());
    for (const load_result &each : m_results) {
        latest[each.vm] = each.status;
    }
    question.reply.set_value(static_cast<std::size_t>(std::ranges::count(latest, question.status)));
}

void load_task::take(finish_load &question)
{
    m_finish = std::move(question);
    finishWhenIdle();
}

void load_task::checkReady()
{
    for (std::size_t vm = 0; vm < m_checks.size(); ++vm) {
        if (!m_checks[vm]) {
            check(vm);
        }
    }
    m_checkAgain.arm(checkPeriod);
}

void load_task::check(std::size_t vm)
{
    const endpoint &at = m_options.vms[vm].metrics;
    const std::string host = toText(at);
    const header_view headers[] = {{.name = "Host", .value = host}};
    m_checks[vm] = std::make_unique<upstream_connection>(
        m_loop, upstream_connection_options{.address = at.ip, .port = at.port}, [] {});
    m_checks[vm]->send({.method = "GET", .target = "/ready", .headers = headers, .body = {}, .timeout = checkTimeout},
                       [this, vm](const upstream_outcome &outcome) {
                           m_options.vms[vm].ready =
                               outcome.result == upstream_result::Answered && outcome.answer.status == okStatus;
                           m_checks[vm].reset();
                       });
}

void load_task::connect(caller &from)
{
    if (from.connection && from.connection->usable() && m_options.vms[from.vm].ready) {
        return;
    }
    from.connection.reset();
    const std::size_t count = m_options.vms.size();
    for (std::size_t tried = 0; tried < count; ++tried) {
        from.vm = m_nextVm++ % count;
        if (m_options.vms[from.vm].ready) {
            const endpoint &at = m_options.vms[from.vm].callers;
            from.connection = std::make_unique<upstream_connection>(
                m_loop, upstream_connection_options{.address = at.ip, .port = at.port}, [] {});
            return;
        }
    }
}

void load_task::send(caller &from)
{
    if (m_finish) {
        return;
    }
    connect(from);
    if (!from.connection) {
        from.next->arm(checkPeriod); // No VM is ready at present.
        return;
    }
    const std::string name = "load-" + std::to_string(++m_sent);
    const std::string authorization = "Bearer " + m_options.key;
    const std::string host = toText(m_options.vms[from.vm].callers);
    std::vector<header_view> headers{{.name = "Host", .value = host}, {.name = "X-Request-Id", .value = name}};
    if (!m_options.key.empty()) {
        headers.push_back({.name = "Authorization", .value = authorization});
    }
    if (m_options.claimed) {
        headers.push_back({.name = "Idempotency-Key", .value = name});
    }
    from.running = true;
    from.connection->send({.method = m_options.method,
                           .target = m_options.target,
                           .headers = headers,
                           .body = {},
                           .timeout = requestTimeout},
                          [this, &from, name](const upstream_outcome &outcome) { ended(from, name, outcome); });
}

void load_task::ended(caller &from, const std::string &name, const upstream_outcome &outcome)
{
    const bool answered = outcome.result == upstream_result::Answered;
    m_results.push_back({.name = name,
                         .status = answered ? outcome.answer.status : 0,
                         .body = answered ? std::string(textOf(outcome.answer.body)) : std::string(),
                         .vm = from.vm,
                         .since = loop::now() - m_begin});
    if (!outcome.reusable) {
        from.connection.reset();
    }
    from.running = false;
    from.next->arm(m_options.pause);
    finishWhenIdle();
}

void load_task::finishWhenIdle()
{
    if (m_finish && std::ranges::none_of(m_callers, &caller::running)) {
        m_finish->reply.set_value(std::move(m_results));
        m_loop.stop();
    }
}

} // namespace guavafront
