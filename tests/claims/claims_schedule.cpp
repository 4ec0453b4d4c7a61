#include "claims/claims_schedule.h"

#include <cstring>
#include <functional>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration requestTimeout = std::chrono::seconds(2);

std::vector<std::byte> answerOf(std::uint64_t key, std::uint64_t digest)
{
    const std::uint64_t parts[] = {key, digest};
    const auto bytes = std::as_bytes(std::span(parts));
    return {bytes.begin(), bytes.end()};
}

duration milliseconds(std::uint64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

claims_schedule::claims_schedule(std::uint64_t seed, std::size_t vmCount, schedule_faults faults)
    : m_random(seed)
    , m_faults(faults)
{
    for (std::size_t each = 0; each < vmCount; ++each) {
        addVm();
    }
    for (const auto &[id, each] : m_vms) {
        m_view.members.push_back({.id = id, .life = each.state.homeSide.life, .dataCentre = each.dataCentre});
    }
    m_view.epoch = {1};
    for (const auto &[id, each] : m_vms) {
        handle(id, claims_view_changed{m_view});
    }
}

std::uint64_t claims_schedule::draw(std::uint64_t limit)
{
    return m_random() % limit;
}

bool claims_schedule::chance(std::uint32_t percent)
{
    return draw(100) < percent;
}

void claims_schedule::after(duration delay, std::function<void()> action)
{
    m_queue.emplace(std::pair(m_now + delay, ++m_order), std::move(action));
}

vm_id claims_schedule::addVm()
{
    const vm_id id{++m_lastVm};
    m_vms[id] = {.state = makeClaims(id, ++m_lastLife << 32U, {}, {}),
                 .dataCentre = std::string(1, static_cast<char>('a' + id.value % 3))};
    return id;
}

std::vector<vm_id> claims_schedule::living() const
{
    std::vector<vm_id> ids;
    for (const auto &[id, each] : m_vms) {
        if (each.alive) {
            ids.push_back(id);
        }
    }
    return ids;
}

void claims_schedule::submit(std::uint64_t key, std::uint64_t digest, duration delay)
{
    after(delay, [this, key, digest] {
        const std::vector<vm_id> ids = living();
        const vm_id at = ids[draw(ids.size())];
        const exchange_id id{++m_lastExchange};
        m_requests[id] = {.key = key, .digest = digest, .at = at, .life = m_vms.at(at).state.homeSide.life};
        handle(at, start_claim{.id = id,
                               .key = makeClaimKey({1}, std::to_string(key)),
                               .digest = {.high = 0, .low = digest},
                               .deadline = m_now + requestTimeout});
    });
}

void claims_schedule::handle(vm_id at, const claims_event &event)
{
    vm &each = m_vms.at(at);
    if (!each.alive) {
        return;
    }
    std::vector<claimant_effect> effects;
    step(each.state, event, m_now, effects);
    for (const claimant_effect &effect : effects) {
        if (const auto *message = std::get_if<send_claim_message>(&effect)) {
            send(at, *message);
        } else {
            resolve(std::get<claim_resolved>(effect));
        }
    }
    const std::optional<instant> next = nextWake(each.state);
    if (next && (!each.wake || *next < *each.wake)) {
        each.wake = next;
        after(std::max(*next - m_now, duration(1)), [this, at] { wake(at); });
    }
}

void claims_schedule::wake(vm_id at)
{
    m_vms.at(at).wake.reset();
    handle(at, claims_time_passed{});
}

void claims_schedule::send(vm_id from, const send_claim_message &effect)
{
    const int copies = chance(m_faults.lossPercent) ? 0 : chance(m_faults.duplicatePercent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(milliseconds(1 + draw(m_faults.maxDelayMs)), [this, from, effect] {
            handle(effect.to, claim_message_received{.from = from, .message = effect.message});
        });
    }
}

void claims_schedule::resolve(const claim_resolved &resolved)
{
    const request &asked = m_requests.at(resolved.id);
    switch (resolved.decision) {
    case claim_resolved::verdict::Run: {
        const duration pause = chance(m_faults.pausePercent) ? requestTimeout * 3 / 4 : milliseconds(draw(20));
        after(pause, [this, id = resolved.id] { sendUpstream(id); });
        break;
    }
    case claim_resolved::verdict::Replay:
        ++replays[asked.key];
        wrongReplays += resolved.answer == answerOf(asked.key, asked.digest) && runs[asked.key] == 1 ? 0 : 1;
        break;
    case claim_resolved::verdict::Refuse:
        refusals[asked.key].push_back(resolved.reason);
        falseNotRun += asked.sent && resolved.reason.ran == execution::NotRun ? 1 : 0;
        break;
    }
}

void claims_schedule::sendUpstream(exchange_id id)
{
    request &each = m_requests.at(id);
    if (!m_vms.at(each.at).alive || m_vms.at(each.at).state.homeSide.life != each.life) {
        return;
    }
    if (chance(20)) { // The connection failed before any byte was sent.
        handle(each.at, end_claim{.id = id, .mayHaveRun = false, .answer = {}});
        refusals[each.key].push_back({.code = result_code::ConnectFailed, .ran = execution::NotRun});
        return;
    }
    each.sent = true;
    ++runs[each.key];
    ranDigest[each.key] = each.digest;
    after(milliseconds(draw(100)), [this, id] { endUpstream(id); });
}

void claims_schedule::endUpstream(exchange_id id)
{
    const request &each = m_requests.at(id);
    if (m_vms.at(each.at).state.homeSide.life != each.life) {
        return;
    }
    if (chance(20)) { // The answer was lost.
        handle(each.at, end_claim{.id = id, .mayHaveRun = true, .answer = {}});
    } else {
        handle(each.at, end_claim{.id = id, .mayHaveRun = true, .answer = answerOf(each.key, each.digest)});
    }
}

void claims_schedule::killOne()
{
    const std::vector<vm_id> ids = living();
    m_vms.at(ids[draw(ids.size())]).alive = false;
    addVm();
}

void claims_schedule::restartOne()
{
    const std::vector<vm_id> ids = living();
    const vm_id at = ids[draw(ids.size())];
    m_vms.at(at).state = makeClaims(at, ++m_lastLife << 32U, {}, {});
    handle(at, claims_view_changed{m_view}); // The view in force still lists the earlier life.
}

void claims_schedule::changeView()
{
    std::vector<claims_member> live;
    for (const auto &[id, each] : m_vms) {
        if (each.alive && !chance(m_faults.dropPercent)) { // A live VM may be taken for dead.
            live.push_back({.id = id, .life = each.state.homeSide.life, .dataCentre = each.dataCentre});
        }
    }
    m_view = nextView(m_view, live);
    for (const auto &[id, each] : m_vms) {
        after(milliseconds(draw(m_faults.viewDelayMs)),
              [this, at = id, view = m_view] { handle(at, claims_view_changed{view}); });
    }
}

void claims_schedule::run(duration period)
{
    const instant end = m_now + period;
    const auto limit =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(period).count());
    for (std::uint32_t each = 0; each < m_faults.deaths; ++each) {
        after(milliseconds(draw(limit)), [this] { killOne(); });
    }
    for (std::uint32_t each = 0; each < m_faults.restarts; ++each) {
        after(milliseconds(draw(limit)), [this] { restartOne(); });
    }
    for (std::uint32_t each = 0; each < m_faults.viewChanges; ++each) {
        after(milliseconds(draw(limit)), [this] { changeView(); });
    }
    while (!m_queue.empty() && m_queue.begin()->first.first <= end) {
        const auto next = m_queue.extract(m_queue.begin());
        m_now = next.key().first;
        next.mapped()();
    }
    m_now = end;
}

void claims_schedule::heal()
{
    m_faults = {};
    for (const auto &[id, each] : m_vms) {
        handle(id, claims_view_changed{m_view});
    }
}

} // namespace guavafront
