#include "daemon/departures/departures_task.h"

#include "wire/departure_codec.h"

#include <glog/logging.h>
#include <sodium.h>

#include <sstream>
#include <utility>

namespace guavafront
{

namespace
{

std::string_view stateText(const departure &what)
{
    return what.state == instance_state::Leaving ? "leaves" : "drains";
}

} // namespace

departures_task::departures_task(loop &owner, const departures_task_options &options,
                                 mailbox<departures_inbox_message> &inbox, mailbox<peers_message> &peers,
                                 mailbox<entry_event> &registry, daemon_counters &counters)
    : m_peers(peers)
    , m_registry(registry)
    , m_counters(counters)
    , m_timer(owner, [this] { run(departure_time_passed{}); })
    , m_attachment(inbox, owner, [this](const departures_inbox_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
    m_state.self = options.self;
    m_state.dataCentre = options.dataCentre;
    randombytes_buf(&m_state.lastNumber, sizeof m_state.lastNumber);
    m_peers.post(resend_state{});
}

departures_task::~departures_task()
{
    for (const auto &[ticket, answer] : m_calls) {
        answer(false);
    }
}

void departures_task::handle(const departure_submitted &message)
{
    m_calls[++m_lastTicket] = message.answer;
    run(departure_told{m_lastTicket, message.what});
}

void departures_task::handle(const departure_event &event)
{
    run(event);
}

void departures_task::run(const departure_event &event)
{
    std::vector<departure_effect> effects;
    const instant now = loop::now();
    step(m_state, event, now, effects);
    for (const departure_effect &each : effects) {
        std::visit([this](const auto &effect) { perform(effect); }, each);
    }
    if (const instant next = nextWake(m_state); next != instant::max()) {
        m_timer.arm(std::max(duration::zero(), next - now));
    }
}

void departures_task::perform(const answer_departure &effect)
{
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(effect.waited).count();
    LOG(INFO) << "departure of " << effect.what.name << " (start " << effect.what.processStartMs << ", "
              << stateText(effect.what) << ") " << (effect.held ? "acknowledged" : "refused") << ": " << effect.holders
              << " control VMs hold it, " << holdersNeeded(m_state) << " are needed, after " << waitedMs << " ms";
    m_counters.countDeparture(effect.held);
    const auto found = m_calls.find(effect.ticket);
    if (found != m_calls.end()) {
        const std::function<void(bool)> answer = std::move(found->second);
        m_calls.erase(found);
        answer(effect.held);
    }
}

void departures_task::perform(const apply_departure &effect)
{
    if (!m_registry.post(departure_reported{.what = effect.what, .from = {}})) {
        LOG(ERROR) << "departure of " << effect.what.name << " is lost on this VM: the registry is behind";
    }
}

void departures_task::perform(const cover_homes &effect)
{
    std::ostringstream silent;
    for (const vm_id each : effect.silent) {
        silent << ' ' << std::hex << each.value;
    }
    LOG(WARNING) << effect.departures << " departures told to " << effect.receivers.size()
                 << " VMs in place of their homes; not confirmed by" << silent.str();
    m_counters.countCoveredVms(effect.receivers.size());
}

void departures_task::perform(const repeat_departures &effect)
{
    const auto waitedMs = std::chrono::duration_cast<std::chrono::milliseconds>(effect.waited).count();
    LOG(WARNING) << effect.departures << " of " << effect.unconfirmed << " departures told to VM " << std::hex
                 << effect.to.value << std::dec << " again: not confirmed for " << waitedMs << " ms";
    m_counters.countRepeatedDepartures(effect.departures);
}

void departures_task::perform(const send_departures &effect)
{
    if (const auto *passedOn = std::get_if<departures_passed_on>(&effect.message)) {
        std::ostringstream names;
        for (const departure &each : passedOn->departures) {
            names << ' ' << each.name;
        }
        LOG(INFO) << "departures passed on to " << effect.to.size() << " VMs:" << names.str();
    }
    const bool posted = m_peers.post(send_to_vms{
        effect.to, {.kind = channel::Registry, .version = departureVersion, .body = encodeDepartures(effect.message)}});
    if (!posted) {
        LOG(ERROR) << "a message about departures to " << effect.to.size() << " VMs is lost: the peers task is behind";
    }
}

} // namespace guavafront
