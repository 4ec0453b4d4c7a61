#pragma once

#include "entry/entry_fixture.h"
#include "entry/instance_words.h"
#include "entry/request_record.h"

#include <guavafront/coordination/quarantine/fingerprint.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <type_traits>
#include <utility>

namespace guavafront
{

/// Stage of a request before the step that ended it, and the result code; Ok when its caller disconnected.
using stopping_point = std::pair<exchange_stage, result_code>;

/// Runs an entry VM under a seeded random schedule of requests, outcomes and disturbances. Its bounds are small so that
/// each is reached. Every effect is checked against an independent record of the request.
struct entry_schedule : entry_fixture {
    std::mt19937_64 scheduleRandom; ///< Random numbers of the schedule; the entry draws its own.
    std::map<exchange_id, request_record> records; ///< Records of all requests sent so far.
    std::deque<std::pair<vm_id, claim_request>> unansweredClaims; ///< Claim requests to other VMs.
    std::deque<lease_request> unansweredLeases; ///< Lease requests to VM 5, which owns rates too.
    std::uint64_t shareRound = 0; ///< Round of the last share request of VM 5.
    std::set<stopping_point> *stoppingPoints; ///< Collects the stopping points of all requests; not owned.
    instance_words words; ///< What instances said of themselves.
    std::uint64_t epoch = 0; ///< Epoch of the current claims view.
    bool claimsElsewhere = false; ///< Other VMs store claims as well.

    /// Prepares the entry VM; stops must outlive the schedule.
    entry_schedule(std::uint64_t scheduleSeed, std::set<stopping_point> &stops)
        : scheduleRandom(scheduleSeed)
        , stoppingPoints(&stops)
    {
        state.settings.bounds = {.requests = 12, .bodyBytes = 4'000};
        state.settings.admission.maxWaitingPerAccount = 3;
        state.settings.admission.maxWaiting = 4;
        draft->accounts.push_back({.id = {2}, .name = "tjarnaveitur", .kindOrder = {"reading", "booking"}});
        draft->keys.push_back({.label = "tjarnaveitur-1", .hash = hashOf(9), .owner = {2}});
        draft->defaults.accountRatePerSecond = 100;
        draft->defaults.accountBurst = 12;
        draft->defaults.quarantineDeaths = 1;
        draft->routes[0].timeoutMs = 60;
        draft->routes[1].timeoutMs = 80;
        draft->routes.push_back(
            {.id = {3}, .pathPrefix = "/readings", .service = "reservas", .kind = "reading", .timeoutMs = 15});
        draft->routes.push_back({.id = {4}, .pathPrefix = "/nobody", .service = "rutas", .kind = "list"});
        applyDraft();
        changeClaimsView();
        changeOwner();
        advanceTime(std::chrono::seconds(4)); // Until a share that this VM had delegated to itself returns.
        askForShares();
    }

    /// A random number from 0 to count - 1.
    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(scheduleRandom() % count);
    }

    /// A random element of the values.
    template<class value, std::size_t count>
    value pickOf(const std::array<value, count> &values)
    {
        return values[pick(count)];
    }

    /// Advances the time by a random duration below the given one.
    void elapse(std::size_t mostMicroseconds)
    {
        now += std::chrono::microseconds(pick(mostMicroseconds));
    }

    /// Runs one step and checks its effects and the set of requests that the entry holds.
    void stepAndCheck(const entry_event &event)
    {
        std::map<exchange_id, exchange_stage> stages;
        for (const auto &[id, request] : state.exchanges) {
            stages[id] = request.stage;
        }
        run(event);
        for (const entry_effect &each : effects) {
            std::visit([this, &stages](const auto &effect) { checkEffect(effect, stages); }, each);
        }
        std::size_t live = 0;
        for (const auto &[id, record] : records) {
            live += isLive(record) ? 1 : 0;
            require(isLive(record) == state.exchanges.contains(id), "lost, or held after its end", id);
        }
        require(live == state.exchanges.size(), "the entry holds requests that were never sent", {});
    }

    /// Checks an effect on a request, and queues messages that other VMs must answer.
    template<class effect_type>
    void checkEffect(const effect_type &effect, const std::map<exchange_id, exchange_stage> &stages)
    {
        if constexpr (requires(request_record & record) { check(record, effect); }) {
            check(records.at(effect.id), effect);
        }
        if constexpr (std::is_same_v<effect_type, start_attempt>) {
            words.check(effect, now);
        }
        if constexpr (std::is_same_v<effect_type, refuse_request>) {
            const auto stage = stages.find(effect.id);
            stoppingPoints->emplace(stage == stages.end() ? exchange_stage::Limit : stage->second, effect.reason.code);
        }
        if constexpr (std::is_same_v<effect_type, send_claim_message>) {
            if (const auto *request = std::get_if<claim_request>(&effect.message)) {
                unansweredClaims.emplace_back(effect.to, *request);
            }
        }
        if constexpr (std::is_same_v<effect_type, limit_send>) {
            if (const auto *request = std::get_if<lease_request>(&effect.message)) {
                unansweredLeases.push_back(*request);
            }
        }
    }

    /// Sends a random request.
    void sendRequest()
    {
        const exchange_id id{++lastExchange};
        const auto method = pickOf(std::array<std::string_view, 2>{"GET", "POST"});
        const auto path = pickOf(std::array<std::string_view, 8>{"/bookings", "/bookings", "/bookings", "/readings",
                                                                 "/readings", "/flags", "/nobody", "/nothing"});
        const auto idempotencyKey = pickOf(std::array<std::string_view, 4>{"", "a", "b", "c"});
        std::optional<key_hash> key = hashOf(pickOf(std::array<unsigned char, 8>{7, 7, 7, 7, 9, 9, 9, 8}));
        if (pick(20) == 0) {
            key.reset();
        }
        records[id] = {.repeatable = method == "GET", .hasIdempotencyKey = !idempotencyKey.empty()};
        stepAndCheck(request_arrived{{.id = id,
                                      .method = method,
                                      .host = "any.example",
                                      .path = path,
                                      .key = key,
                                      .idempotencyKey = idempotencyKey,
                                      .digest = {.high = 0, .low = pick(12)},
                                      .bodyBytes = static_cast<std::uint32_t>(pick(1'000))}});
    }

    /// A random request that the entry holds, with an attempt in progress if runningOnly; nothing when there is none.
    std::optional<exchange_id> pickLive(bool runningOnly)
    {
        std::vector<exchange_id> found;
        for (const auto &[id, record] : records) {
            if (isLive(record) && (record.running || !runningOnly)) {
                found.push_back(id);
            }
        }
        return found.empty() ? std::nullopt : std::optional(found[pick(found.size())]);
    }

    /// Ends a random attempt in one of the ways that the front end can report.
    void endAttempt()
    {
        const std::optional<exchange_id> id = pickLive(true);
        if (!id) {
            return;
        }
        attempt_result result{.outcome = static_cast<attempt_outcome>(pick(6)),
                              .mayHaveBeenSent = true,
                              .newConnection = pick(2) == 0,
                              .status = 200,
                              .latency = std::chrono::microseconds(pick(20'000))};
        const bool couldFailUnsent =
            result.outcome == attempt_outcome::ClosedEarly || result.outcome == attempt_outcome::TimedOut;
        result.mayHaveBeenSent = result.outcome != attempt_outcome::ConnectFailed && (!couldFailUnsent || pick(2) == 0);
        letInstanceSpeak(state.exchanges.at(*id).currentInstance, result);
        recordAttempt(records.at(*id), result);
        stepAndCheck(attempt_ended{*id, result, {std::byte{5}}});
    }

    /// Lets the instance say at random, with an answer, that it leaves or wants a pause.
    void letInstanceSpeak(instance_id instance, attempt_result &result)
    {
        const bool refused = result.outcome == attempt_outcome::RefusedNotRun;
        result.wrongInstance = refused && pick(8) == 0;
        result.requestedPause = std::chrono::milliseconds(refused && pick(3) == 0 ? 1 + pick(60) : 0);
        result.instanceLeaves = (refused || result.outcome == attempt_outcome::Answered) && pick(20) == 0;
        words.record(instance, result, now);
    }

    /// Lets another VM tell that an instance leaves.
    void hearOfLeaving()
    {
        const instance_id leaving = words.incarnationOf(1 + pick(4));
        words.leaving.insert(leaving);
        stepAndCheck(evidence_received{{leaving, instance_report_kind::Leaving}});
    }

    /// Disconnects the caller of a random request.
    void disconnectCaller()
    {
        if (const std::optional<exchange_id> id = pickLive(false)) {
            stoppingPoints->emplace(state.exchanges.at(*id).stage, result_code::Ok);
            records.at(*id).callerLeft = true;
            stepAndCheck(caller_left{*id});
        }
    }

    /// Advances the time and tells the entry.
    void letTimePass(std::size_t mostMicroseconds)
    {
        elapse(mostMicroseconds);
        stepAndCheck(time_passed{});
        for (const auto &[id, request] : state.exchanges) {
            require(request.deadline > now, "held after its deadline", id);
        }
    }

    /// Answers the oldest unanswered claim request, or loses the answer.
    void answerClaim()
    {
        if (unansweredClaims.empty()) {
            return;
        }
        const auto [home, request] = unansweredClaims.front();
        unansweredClaims.pop_front();
        claim_reply reply{.attempt = request.attempt,
                          .key = request.key,
                          .vote = static_cast<claim_vote>(pick(4)),
                          .epoch = request.epoch};
        if (reply.vote == claim_vote::Taken && pick(2) == 0) {
            reply.outcome = claim_outcome{
                .digest = {.high = 0, .low = pick(12)}, .answerKept = pick(2) == 0, .answer = {std::byte{6}}};
        } else if (reply.vote == claim_vote::Taken) {
            reply.holders = {{.attempt = {.claimant = {8}, .number = 1},
                              .digest = request.digest,
                              .remaining = std::chrono::milliseconds(pick(100))}};
        }
        if (pick(4) != 0) {
            stepAndCheck(claim_message_received{home, reply});
        }
    }

    /// Makes VM 5 the owner of some accounts' rates, or lets this VM be alone again.
    void changeOwner()
    {
        stepAndCheck(limit_members_changed{pick(3) == 0 ? std::vector<vm_id>{{1}} : std::vector<vm_id>{{1}, {5}}});
    }

    /// Lets VM 5 request all shares of this VM.
    void askForShares()
    {
        share_request request{.round = ++shareRound, .slots = {}};
        for (limit_slot slot = 0; slot < state.settings.limits.slotCount; ++slot) {
            request.slots.push_back(slot);
        }
        stepAndCheck(limit_message_received{{5}, request});
    }

    /// Grants some tokens for the oldest lease request, or loses the grant.
    void grantLease()
    {
        if (unansweredLeases.empty()) {
            return;
        }
        lease_grant grant{.sequence = unansweredLeases.front().sequence, .items = {}};
        for (const lease_request_item &item : unansweredLeases.front().items) {
            const auto tokens = static_cast<double>(pick(4));
            grant.items.push_back({.account = item.account,
                                   .capacity = tokens,
                                   .tokens = tokens,
                                   .lifetime = std::chrono::seconds(1),
                                   .retryAfter = std::chrono::milliseconds(pick(100))});
        }
        unansweredLeases.pop_front();
        if (pick(4) != 0) {
            stepAndCheck(limit_message_received{{5}, grant});
        }
    }

    /// Lets claims be stored by this VM alone, or by two other VMs as well.
    void changeClaimsView()
    {
        const std::vector<claims_member> here{{.id = {1}, .life = 0, .dataCentre = "a"}};
        std::vector<claims_member> members = here;
        claimsElsewhere = !claimsElsewhere && pick(2) == 0;
        if (claimsElsewhere) {
            members.push_back({.id = {8}, .life = 0, .dataCentre = "b"});
            members.push_back({.id = {9}, .life = 0, .dataCentre = "c"});
        }
        stepAndCheck(claims_view_changed{{.epoch = {++epoch}, .members = members, .previous = {}}});
    }

    /// Announces a random instance with a random state, slots and lease. One that leaves may start again before.
    void changeInstance()
    {
        const std::uint64_t id = 1 + pick(4);
        words.incarnations.at(id) += words.leaving.contains(words.incarnationOf(id)) && pick(2) == 0 ? 1 : 0;
        const auto where = static_cast<instance_state>(pick(4) == 0 ? 1 + pick(2) : 0);
        stepAndCheck(instance_announced{
            {.instance = words.incarnationOf(id),
             .sequence = ++lastSequence,
             .service = id <= 2 ? "reservas" : "flagsja",
             .ip = "127.0.0.1",
             .port = 9000,
             .dataCentre = "gdl-a",
             .slots = static_cast<std::uint16_t>(1 + pick(2)),
             .state = where,
             .lease = pick(4) == 0 ? duration(std::chrono::milliseconds(50)) : duration(std::chrono::hours(1))}});
    }

    /// Changes the configuration or its freshness, the views of the fleet, an instance or the quarantine.
    void disturb()
    {
        switch (pick(8)) {
        case 0:
            stepAndCheck(freshness_changed{.confirmedAt = now - std::chrono::seconds(pick(2) * 10)});
            state.keysConfirmedAt = now - std::chrono::seconds(pick(8) == 0 ? 10 : 0);
            break;
        case 1:
            stepAndCheck(
                death_reported{{.attempt = {.request = fingerprintOf(account_id{1}, route_id{1}, {0, pick(12)}),
                                            .instance = {100 + pick(3)}}}});
            break;
        case 2:
            ++draft->atRevision.value;
            draft->keys[1].hash = hashOf(pick(2) == 0 ? 9 : 10);
            stepAndCheck(configuration_changed{std::make_shared<const configuration>(*draft)});
            break;
        case 3:
        case 4:
            changeOwner();
            askForShares();
            break;
        case 5:
            changeClaimsView();
            break;
        case 6:
            hearOfLeaving();
            break;
        default:
            changeInstance();
            break;
        }
    }

    /// Runs one random event of the schedule. Most events come without a time_passed before them, as timers may be
    /// late.
    void advanceOnce()
    {
        elapse(2'000);
        const std::size_t kind = pick(100);
        if (kind < 35) {
            sendRequest();
        } else if (kind < 60) {
            endAttempt();
        } else if (kind < 66) {
            disconnectCaller();
        } else if (kind < 76) {
            letTimePass(30'000);
        } else if (kind < 84) {
            answerClaim();
        } else if (kind < 88) {
            grantLease();
        } else if (kind < 93) {
            changeInstance();
        } else {
            disturb();
        }
    }

    /// Runs the schedule to the end of all its requests. Throws an error that names the first violated rule.
    void complete()
    {
        constexpr int events = 150;
        const int stopAt = pick(4) == 0 ? static_cast<int>(pick(events)) : events;
        for (int number = 0; number < events; ++number) {
            if (number == stopAt) {
                stepAndCheck(intake_closed{now + std::chrono::milliseconds(50)});
            }
            advanceOnce();
        }
        if (stopAt < events) {
            stepAndCheck(runs_ended{});
            require(state.exchanges.empty(), "held after the end of a planned stop", {});
            stepAndCheck(stop_requested{});
        }
        now += std::chrono::seconds(11);
        stepAndCheck(time_passed{});
        require(state.exchanges.empty() && state.deadlines.empty(),
                "requests or deadlines remain after the last deadline", {});
        require(state.bodyBytes == 0 && state.tokenWaits.byAccount.empty() && state.tokenWaits.expirations.empty(),
                "body bytes or token waits remain after all requests ended", {});
        for (const auto &[service, admission] : state.admissions.byService) {
            require(admission.running == 0 && admission.queue.waitingCount == 0,
                    "slots or queue entries remain after all requests ended", {});
        }
    }
};

} // namespace guavafront
