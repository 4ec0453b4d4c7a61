#include "replication/simulated_cluster.h"

#include "wire/configuration_codec.h"

#include <algorithm>
#include <stdexcept>

namespace guavafront
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t maxNetworkDelayUs = 20'000;
constexpr std::uint64_t maxSyncDelayUs = 4'000;
constexpr std::uint64_t maxSlowSyncDelayUs = 600'000;

void check(bool holds, const std::string &invariant)
{
    if (!holds) {
        throw std::runtime_error("invariant violated: " + invariant);
    }
}

/// Size in bytes of a message, of each record in it and of a chunk besides their payload.
constexpr std::uint64_t fixedMessageBytes = 128;

std::uint64_t sizeOf(const log_record &record)
{
    const auto *stored = std::get_if<command>(&record.content);
    return fixedMessageBytes + (stored ? stored->payload.size() : 0);
}

std::uint64_t sizeOf(const replication_message &message)
{
    std::uint64_t bytes = fixedMessageBytes;
    if (const auto *append = std::get_if<append_request>(&message.body)) {
        for (const log_record &record : append->records) {
            bytes += sizeOf(record);
        }
    } else if (const auto *chunk = std::get_if<snapshot_chunk>(&message.body)) {
        bytes += fixedMessageBytes + chunk->part.size();
    }
    return bytes;
}

bool isStorage(const replica_effect &effect)
{
    return std::holds_alternative<write_vote>(effect) || std::holds_alternative<append_records>(effect)
           || std::holds_alternative<remove_records>(effect) || std::holds_alternative<write_snapshot>(effect);
}

void writeTo(stored_state &disk, const replica_effect &effect)
{
    std::visit(
        [&disk](const auto &write) {
            if constexpr (requires { applyWrite(disk, write); }) {
                applyWrite(disk, write);
            }
        },
        effect);
}

} // namespace

bool simulated_cluster::runs_later::operator()(const scheduled_action &left, const scheduled_action &right) const
{
    return std::pair(left.due, left.order) > std::pair(right.due, right.order);
}

simulated_cluster::simulated_cluster(std::uint64_t seed, std::size_t vms)
    : m_random(seed)
    , m_options{.maxMessageBytes = 400, .snapshotAfterRecords = 12, .keptRecords = 4, .targetVoters = vms}
{
    addVm({++m_lastVm}, bootstrapState({7}, std::array{vm_id{1}}));
    while (m_lastVm < vms) {
        addVm({++m_lastVm}, {});
    }
    proposeLearners();
}

simulated_cluster::simulated_cluster(std::uint64_t seed, std::size_t founders, const replica_options &options)
    : m_random(seed)
    , m_options(options)
{
    std::vector<vm_id> ids;
    while (ids.size() < founders) {
        ids.push_back({++m_lastVm});
    }
    for (const vm_id founder : ids) {
        addVm(founder, bootstrapState({7}, ids));
    }
}

void simulated_cluster::runUntil(instant end)
{
    while (!m_scheduled.empty() && m_scheduled.top().due <= end) {
        const scheduled_action next = m_scheduled.top();
        m_scheduled.pop();
        m_now = next.due;
        next.action();
    }
    m_now = end;
}

void simulated_cluster::runUntilTrue(const std::function<bool()> &condition, duration limit, const std::string &what)
{
    const instant end = m_now + limit;
    while (!condition()) {
        check(m_now < end, what + " did not happen within the time limit");
        runUntil(m_now + milliseconds(10));
    }
}

void simulated_cluster::after(duration delay, std::function<void()> action)
{
    m_scheduled.push({m_now + delay, ++m_order, std::move(action)});
}

void simulated_cluster::propose(vm_id vm, const change_proposal &proposal, const answer_handler &answer)
{
    const std::uint64_t ticket = ++m_lastTicket;
    m_answers[ticket] = answer;
    if (m_vms.at(vm).up) {
        handle(vm, command_proposed{ticket, encodeProposal(proposal)});
    }
}

void simulated_cluster::post(vm_id vm, const replica_event &event)
{
    if (m_vms.at(vm).up) {
        handle(vm, event);
    }
}

void simulated_cluster::crash(vm_id vm)
{
    simulated_vm &node = m_vms.at(vm);
    const std::uint64_t survive = random(node.unsyncedWrites.size() + 1);
    for (std::uint64_t i = 0; i < survive; ++i) {
        writeTo(node.disk, node.unsyncedWrites[i]);
    }
    node.unsyncedWrites.clear();
    node.pendingEffects.clear();
    node.deferredEvents.clear();
    node.pendingProposals.clear();
    ++node.incarnation;
    node.busyUntil = node.sendsUntil = m_now;
    node.up = node.frozen = node.syncing = false;
}

void simulated_cluster::start(vm_id vm)
{
    simulated_vm &node = m_vms.at(vm);
    node.up = true;
    node.state = restore(optionsFor(vm), node.disk, m_now, random());
    const std::vector<std::byte> &state = node.disk.log.snapshot.state;
    node.stateMachine = state.empty() ? change_log{} : decodeChangeLog(state);
    armTimer(vm);
}

void simulated_cluster::freeze(vm_id vm)
{
    m_vms.at(vm).frozen = true;
}

void simulated_cluster::thaw(vm_id vm)
{
    simulated_vm &node = m_vms.at(vm);
    node.frozen = false;
    std::deque<replica_event> events;
    events.swap(node.deferredEvents);
    // The sockets are read by another thread than the one whose timer is due.
    std::stable_partition(events.begin(), events.end(),
                          [](const replica_event &event) { return std::holds_alternative<timer_fired>(event); });
    for (const replica_event &event : events) {
        if (node.up) {
            handle(vm, event);
        }
    }
    if (node.up) {
        performAll(vm);
    }
}

vm_id simulated_cluster::leader() const
{
    vm_id found;
    term highest;
    for (const auto &[id, vm] : m_vms) {
        if (vm.up && vm.state.role == replica_role::Leader && vm.state.currentTerm >= highest) {
            highest = vm.state.currentTerm;
            found = id;
        }
    }
    return found;
}

simulated_vm &simulated_cluster::at(vm_id vm)
{
    return m_vms.at(vm);
}

instant simulated_cluster::now() const
{
    return m_now;
}

std::uint64_t simulated_cluster::random()
{
    return m_random();
}

std::uint64_t simulated_cluster::random(std::uint64_t limit)
{
    return m_random() % limit;
}

void simulated_cluster::handle(vm_id vm, const replica_event &event)
{
    simulated_vm &node = m_vms.at(vm);
    if (node.frozen) {
        node.deferredEvents.push_back(event);
        return;
    }
    std::vector<replica_effect> effects;
    step(node.state, event, m_now, random(), effects);
    node.pendingEffects.insert(node.pendingEffects.end(), effects.begin(), effects.end());
    performAll(vm);
    armTimer(vm);
    if (onHandled && node.up && !node.frozen) {
        onHandled(vm);
    }
}

void simulated_cluster::performAll(vm_id vm)
{
    simulated_vm &node = m_vms.at(vm);
    const std::uint64_t incarnation = node.incarnation;
    while (incarnation == node.incarnation && !node.syncing && !node.frozen && !node.pendingEffects.empty()) {
        const replica_effect effect = std::move(node.pendingEffects.front());
        node.pendingEffects.pop_front();
        if (onEffect) {
            onEffect(vm, effect);
        }
        if (incarnation == node.incarnation) {
            perform(vm, effect);
        }
    }
}

void simulated_cluster::perform(vm_id vm, const replica_effect &effect)
{
    simulated_vm &node = m_vms.at(vm);
    if (isStorage(effect)) {
        node.unsyncedWrites.push_back(effect);
    } else if (const auto *sync = std::get_if<sync_writes>(&effect)) {
        beginSync(vm, sync->sequence);
    } else if (const auto *sent = std::get_if<send_message>(&effect)) {
        send(sent->message);
    } else if (const auto *applied = std::get_if<apply_record>(&effect)) {
        apply(vm, applied->record);
    } else if (const auto *load = std::get_if<load_snapshot>(&effect)) {
        node.stateMachine = decodeChangeLog(load->snapshot.state);
    } else if (const auto *take = std::get_if<take_snapshot>(&effect)) {
        handle(vm, snapshot_taken{take->index, encodeChangeLog(node.stateMachine)});
    } else if (const auto *appended = std::get_if<proposal_appended>(&effect)) {
        node.pendingProposals[appended->index.value] = {appended->ticket, appended->inTerm};
    } else if (const auto *refused = std::get_if<proposal_refused>(&effect)) {
        answerProposal(vm, refused->ticket, change_answer{refused->code, {}, {}});
    } else if (const auto *role = std::get_if<role_changed>(&effect)) {
        handleRoleChange(vm, *role);
    }
}

void simulated_cluster::beginSync(vm_id vm, std::uint64_t sequence)
{
    simulated_vm &node = m_vms.at(vm);
    node.syncing = true;
    const auto delayUs = static_cast<std::int64_t>(random(node.slowDisk ? maxSlowSyncDelayUs : maxSyncDelayUs));
    after(node.syncTime != duration{} ? node.syncTime : microseconds(delayUs),
          [this, vm, sequence, incarnation = node.incarnation] {
              simulated_vm &synced = m_vms.at(vm);
              if (synced.incarnation != incarnation) {
                  return;
              }
              for (const replica_effect &effect : synced.unsyncedWrites) {
                  writeTo(synced.disk, effect);
              }
              synced.unsyncedWrites.clear();
              synced.syncing = false;
              handle(vm, writes_synced{sequence});
          });
}

void simulated_cluster::send(const replication_message &message)
{
    if (sendRate == 0) {
        deliver(message);
        return;
    }
    simulated_vm &sender = m_vms.at(message.from);
    const microseconds takes(static_cast<std::int64_t>(sizeOf(message) * 1'000'000 / sendRate));
    sender.sendsUntil = std::max(sender.sendsUntil, m_now) + takes;
    after(sender.sendsUntil - m_now, [this, message, incarnation = sender.incarnation] {
        if (m_vms.at(message.from).incarnation == incarnation) {
            deliver(message);
        }
    });
}

void simulated_cluster::deliver(const replication_message &message)
{
    if (blockedLinks.contains({message.from, message.to}) || random(100) < lossPercent || !m_vms.contains(message.to)) {
        return;
    }
    const std::uint64_t copies = random(100) < duplicatePercent ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i) {
        after(microseconds(static_cast<std::int64_t>(200 + random(maxNetworkDelayUs))), [this, message] {
            simulated_vm &receiver = m_vms.at(message.to);
            if (!receiver.up || blockedLinks.contains({message.from, message.to})) {
                return;
            }
            if (messageTime == duration{}) {
                handle(message.to, message_received{message});
                return;
            }
            receiver.busyUntil = std::max(receiver.busyUntil, m_now) + messageTime;
            after(receiver.busyUntil - m_now, [this, message, incarnation = receiver.incarnation] {
                if (m_vms.at(message.to).incarnation == incarnation) {
                    handle(message.to, message_received{message});
                }
            });
        });
    }
}

void simulated_cluster::apply(vm_id vm, const log_record &record)
{
    simulated_vm &node = m_vms.at(vm);
    const auto [known, first] = m_appliedRecords.emplace(record.index, record);
    check(first || known->second == record, "two different records were applied at the same index");
    std::optional<change_answer> answer;
    if (const auto *stored = std::get_if<command>(&record.content)) {
        const revision before = node.stateMachine.current.atRevision;
        answer = decide(node.stateMachine, decodeProposal(stored->payload));
        check(node.stateMachine.current.atRevision >= before, "the revision of a state machine decreased");
    }
    const auto proposal = node.pendingProposals.find(record.index.value);
    if (proposal != node.pendingProposals.end()) {
        const auto [ticket, proposedIn] = proposal->second;
        node.pendingProposals.erase(proposal);
        answerProposal(vm, ticket, proposedIn == record.inTerm ? answer : std::nullopt);
    }
}

void simulated_cluster::handleRoleChange(vm_id vm, const role_changed &event)
{
    if (event.role == replica_role::Leader) {
        const auto [known, first] = m_leadersByTerm.emplace(event.inTerm, vm);
        check(first || known->second == vm, "a term has two leaders");
        return;
    }
    failPendingProposals(vm);
}

void simulated_cluster::answerProposal(vm_id vm, std::uint64_t ticket, const std::optional<change_answer> &answer)
{
    const auto found = m_answers.find(ticket);
    if (found != m_answers.end() && m_vms.at(vm).up) {
        const answer_handler handler = found->second;
        m_answers.erase(found);
        handler(ticket, answer);
    }
}

void simulated_cluster::failPendingProposals(vm_id vm)
{
    std::map<std::uint64_t, std::pair<std::uint64_t, term>> failed;
    failed.swap(m_vms.at(vm).pendingProposals);
    for (const auto &[index, proposal] : failed) {
        answerProposal(vm, proposal.first, std::nullopt);
    }
}

void simulated_cluster::armTimer(vm_id vm)
{
    simulated_vm &node = m_vms.at(vm);
    const instant due = std::max(nextDeadline(node.state), m_now);
    if (node.up && !node.frozen && node.timerDue != due) {
        node.timerDue = due;
        after(due - m_now, [this, vm, due, incarnation = node.incarnation] {
            simulated_vm &fired = m_vms.at(vm);
            if (fired.incarnation == incarnation && fired.timerDue == due) {
                fired.timerDue = {};
                handle(vm, timer_fired{});
            }
        });
    }
}

} // namespace guavafront
