#include "wire/departure_codec.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/departures/departures.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Five voting control VMs and twenty entry VMs in three data centres, whose messages the test delivers at once unless
/// a VM is lost.
struct departures_fixture {
    static constexpr std::uint64_t controlCount = 5;
    static constexpr std::uint64_t entryCount = 20;
    const departure leaving{.name = "i-1", .processStartMs = 1'000};

    std::vector<fleet_vm> fleet; ///< All VMs.
    std::map<vm_id, departure_table> controls; ///< State of each control VM.
    std::set<vm_id> lost; ///< VMs that neither send nor receive.
    std::set<vm_id> silent; ///< Entry VMs whose confirmations are lost.
    std::map<vm_id, std::size_t> heard; ///< Departures that reached each VM.
    std::map<std::uint64_t, bool> answers; ///< Answered calls, by ticket.
    instant now{10s};

    departures_fixture()
    {
        departure_voters_changed voters;
        for (std::uint64_t id = 1; id <= controlCount + entryCount; ++id) {
            fleet.push_back({.id = {id}, .dataCentre = std::to_string(id % 3), .isControl = id <= controlCount});
        }
        for (std::uint64_t id = 1; id <= controlCount; ++id) {
            voters.voters.push_back({id});
            controls[{id}] = {.self = {id}, .dataCentre = std::to_string(id % 3), .lastNumber = id * 100};
        }
        for (std::uint64_t id = 1; id <= controlCount; ++id) {
            run({id}, voters);
        }
        showFleet();
    }

    /// Shows each control VM the VMs that aren't lost.
    void showFleet()
    {
        for (auto &[id, state] : controls) {
            departure_vms_changed view;
            std::ranges::copy_if(fleet, std::back_inserter(view.vms), [&, self = id](const fleet_vm &each) {
                return each.id != self && !lost.contains(each.id);
            });
            run(id, view);
        }
    }

    void run(vm_id at, const departure_event &event)
    {
        if (lost.contains(at)) {
            return;
        }
        std::vector<departure_effect> effects;
        step(controls.at(at), event, now, effects);
        for (const departure_effect &each : effects) {
            if (const auto *answer = std::get_if<answer_departure>(&each)) {
                answers[answer->ticket] = answer->held;
            } else if (const auto *send = std::get_if<send_departures>(&each)) {
                deliver(at, *send);
            }
        }
    }

    void deliver(vm_id from, const send_departures &sent)
    {
        const departure_message message = decodeDepartures(encodeDepartures(sent.message));
        BOOST_TEST((message == sent.message));
        for (const vm_id to : sent.to) {
            const auto *passedOn = std::get_if<departures_passed_on>(&message);
            if (lost.contains(to)) {
                continue;
            }
            if (passedOn) {
                heard[to] += passedOn->departures.size();
            }
            if (controls.contains(to)) {
                run(to, departure_message_received{from, message});
            } else if (passedOn && !silent.contains(to)) {
                run(from, departure_message_received{to, confirmationOf(*passedOn)});
            }
        }
    }

    void pass(duration span)
    {
        for (const instant end = now + span; now < end; now += 10ms) {
            for (auto &[id, state] : controls) {
                if (nextWake(state) <= now) {
                    run(id, departure_time_passed{});
                }
            }
        }
    }

    std::size_t entriesReached() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            fleet, [this](const fleet_vm &each) { return !each.isControl && heard.contains(each.id); }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departures_test, departures_fixture)

BOOST_AUTO_TEST_CASE(departure_told_acknowledgedOnceAMajorityHoldsIt)
{
    run({1}, departure_told{7, leaving});
    BOOST_TEST(answers.empty());
    pass(100ms);
    BOOST_TEST(answers.at(7));
    BOOST_TEST(entriesReached() == entryCount);
    for (const auto &[vm, count] : heard) {
        BOOST_TEST(count <= 2U, "VM " << vm.value << " heard of it " << count << " times");
    }
}

BOOST_AUTO_TEST_CASE(departure_registrarLostRightAfterAcknowledgement_allEntryVmsHearOfIt)
{
    for (std::uint64_t registrar = 1; registrar <= controlCount; ++registrar) {
        heard.clear();
        const departure each{.name = "i-" + std::to_string(registrar), .processStartMs = 1'000};
        run({registrar}, departure_told{registrar, each});
        while (!answers.contains(registrar)) {
            pass(10ms);
        }
        lost = {{registrar}};
        pass(100ms);
        BOOST_TEST(entriesReached() == entryCount);
        lost.clear();
    }
}

BOOST_AUTO_TEST_CASE(departure_otherHomesAreLostToo_passedOnOnceTheLossIsKnown)
{
    lost = {{4}};
    run({1}, departure_told{7, leaving});
    while (!answers.contains(7)) {
        pass(10ms);
    }
    lost = {{1}, {4}};
    pass(100ms);
    showFleet();
    pass(100ms);
    BOOST_TEST(entriesReached() == entryCount);
}

// Guards against an acknowledged departure that a VM isn't told, since both of its homes are held up.
BOOST_AUTO_TEST_CASE(departure_bothHomesHeldUp_toldByTheRegistrar)
{
    for (std::uint64_t first = 2; first <= controlCount; ++first) {
        for (std::uint64_t second = first + 1; second <= controlCount; ++second) {
            heard.clear();
            lost = {{first}, {second}};
            run({1}, departure_told{first * 10 + second,
                                    {.name = std::to_string(first * 10 + second), .processStartMs = 1}});
            pass(300ms);
            BOOST_TEST(answers.at(first * 10 + second));
            BOOST_TEST(entriesReached() == entryCount, first << " and " << second << " are held up");
            lost.clear();
        }
    }
}

BOOST_AUTO_TEST_CASE(departure_allHomesConfirm_nobodyToldInTheirPlace)
{
    run({1}, departure_told{7, leaving});
    pass(100ms);
    heard.clear();
    pass(1s);
    BOOST_TEST(answers.at(7));
    BOOST_TEST(heard.empty());
    BOOST_TEST(controls.at({1}).pending.empty());
}

BOOST_AUTO_TEST_CASE(departure_registrarIsCutOff_refusedInTime)
{
    lost = {{2}, {3}, {4}, {5}};
    run({1}, departure_told{7, leaving});
    pass(1s);
    BOOST_TEST(!answers.at(7));
    showFleet(); // Once the cut is known, an instance is sent to another VM at once.
    run({1}, departure_told{8, leaving});
    BOOST_TEST(!answers.at(8));
}

BOOST_AUTO_TEST_CASE(departure_refusedBehindACut_acknowledgedByAnotherVm)
{
    lost = {{1}};
    run({2}, departure_told{9, leaving});
    pass(100ms);
    BOOST_TEST(answers.at(9));
}

BOOST_AUTO_TEST_CASE(departure_entryVmWasOutOfReach_toldWhenItIsBack)
{
    lost = {{10}};
    showFleet();
    run({1}, departure_told{7, leaving});
    pass(5s);
    BOOST_TEST(!heard.contains({10}));
    lost.clear();
    showFleet();
    pass(100ms);
    BOOST_TEST(heard.contains({10}));
}

// Guards against a departure that a VM is never told, since the message to it was lost.
BOOST_AUTO_TEST_CASE(departure_messageToAnEntryVmLost_toldAgainUntilConfirmed)
{
    lost = {{10}};
    run({1}, departure_told{7, leaving});
    pass(300ms);
    lost.clear();
    silent = {{10}};
    pass(2s);
    BOOST_TEST(heard[{10}] >= 2U);
    silent.clear();
    pass(2s);
    heard.clear();
    pass(10s);
    BOOST_TEST(heard.empty());
}

// Guards against repetitions that pile up on the links to a VM that is cut off.
BOOST_AUTO_TEST_CASE(departures_entryVmConfirmsNothing_toldOneNowAndThenAndTheRestOnceItConfirms)
{
    constexpr std::uint64_t count = 200;
    silent = {{10}};
    for (std::uint64_t number = 0; number < count; ++number) {
        run({1}, departure_told{number, {.name = "n-" + std::to_string(number), .processStartMs = 1'000}});
        pass(50ms);
    }
    BOOST_TEST(heard[{10}] < count / 5);
    silent.clear();
    pass(2s);
    BOOST_TEST(heard[{10}] >= count);
    for (const auto &[id, state] : controls) {
        BOOST_TEST(state.deliveries.empty());
    }
}

// Guards against a confirmation of an earlier message that is taken for one of a repetition.
BOOST_AUTO_TEST_CASE(departures_confirmedLateAndOneByOne_noneToldTwice)
{
    constexpr std::uint64_t count = 3 * maxDeparturesPerMessage;
    departure_table home{.self = {1}, .voters = {{1}}};
    std::vector<departure_effect> effects;
    step(home, departure_vms_changed{{{.id = {10}, .dataCentre = "1", .isControl = false}}}, now, effects);
    for (std::uint64_t number = 0; number < count; ++number) {
        step(home, departure_told{number, {.name = "n-" + std::to_string(number), .processStartMs = 1}}, now, effects);
    }
    step(home, departure_time_passed{}, now += 20ms, effects);
    std::vector<departures_confirmed> confirmations;
    for (const departure_effect &each : effects) {
        if (const auto *sent = std::get_if<send_departures>(&each)) {
            confirmations.push_back(confirmationOf(std::get<departures_passed_on>(sent->message)));
        }
    }
    BOOST_TEST(confirmations.size() == 3U);
    effects.clear();
    step(home, departure_time_passed{}, now += 400ms, effects);
    BOOST_TEST(effects.size() == 2U); // One departure, told again, and its log line.
    effects.clear();
    for (const departures_confirmed &each : confirmations) {
        step(home, departure_message_received{{10}, each}, now += 1ms, effects);
    }
    BOOST_TEST(effects.empty());
    BOOST_TEST(home.deliveries.empty());
}

BOOST_AUTO_TEST_CASE(departure_messageLostBeforeALaterOne_sentAgainOnceThatIsConfirmed)
{
    lost = {{10}};
    run({1}, departure_told{1, leaving});
    pass(100ms);
    BOOST_TEST(!heard.contains({10}));
    lost.clear();
    run({1}, departure_told{2, {.name = "i-2", .processStartMs = 1'000}});
    pass(100ms);
    BOOST_TEST(heard[{10}] >= 4U); // Two departures from each of its homes.
    for (const auto &[id, state] : controls) {
        BOOST_TEST(state.deliveries.empty());
    }
}

BOOST_AUTO_TEST_CASE(departure_entryVmHeldDead_notToldAgain)
{
    lost = {{10}};
    run({1}, departure_told{7, leaving});
    pass(300ms);
    showFleet();
    pass(10s);
    for (const auto &[id, state] : controls) {
        BOOST_TEST(state.deliveries.empty());
    }
}

BOOST_AUTO_TEST_CASE(draining_repeatedByTheInstance_acknowledgedWithoutMessages)
{
    departure draining{.name = "i-1", .processStartMs = 1'000, .sequence = 4, .state = instance_state::Draining};
    run({1}, departure_told{1, draining});
    pass(100ms);
    heard.clear();
    draining.sequence = 5;
    run({1}, departure_told{2, draining});
    BOOST_TEST(answers.at(2));
    run({3}, departure_told{3, draining});
    pass(100ms);
    BOOST_TEST(answers.at(3));
    BOOST_TEST(heard.empty());
}

BOOST_AUTO_TEST_CASE(receipt_forAnEarlierLifeOfTheVm_countsForNothing)
{
    lost = {{2}, {3}, {4}, {5}};
    run({1}, departure_told{7, leaving});
    lost.clear();
    for (std::uint64_t holder = 2; holder <= 4; ++holder) {
        run({1}, departure_message_received{{holder}, departures_held{{1, 2, 3}}});
    }
    BOOST_TEST(!answers.contains(7));
}

BOOST_AUTO_TEST_CASE(departure_singleControlVm_acknowledgedAtOnce)
{
    departure_table alone{.self = {1}, .voters = {{1}}};
    std::vector<departure_effect> effects;
    step(alone, departure_told{7, leaving}, now, effects);
    BOOST_TEST(std::ranges::any_of(effects, [](const departure_effect &each) {
        const auto *answer = std::get_if<answer_departure>(&each);
        return answer && answer->held;
    }));
}

BOOST_AUTO_TEST_CASE(departure_votersUnknownAndNobodySeen_refused)
{
    departure_table fresh{.self = {1}};
    std::vector<departure_effect> effects;
    step(fresh, departure_told{7, leaving}, now, effects);
    BOOST_TEST(std::ranges::any_of(effects, [](const departure_effect &each) {
        const auto *answer = std::get_if<answer_departure>(&each);
        return answer && !answer->held;
    }));
}

BOOST_AUTO_TEST_CASE(manyDepartures_atOnce_sentInFewMessages)
{
    constexpr std::uint64_t count = 150;
    for (std::uint64_t number = 0; number < count; ++number) {
        run({1 + number % controlCount},
            departure_told{number, {.name = "n-" + std::to_string(number), .processStartMs = 1'000}});
    }
    pass(100ms);
    BOOST_TEST(answers.size() == count);
    BOOST_TEST(std::ranges::all_of(answers, [](const auto &each) { return each.second; }));
    BOOST_TEST(entriesReached() == entryCount);
}

BOOST_AUTO_TEST_CASE(message_notADeparture_refused)
{
    const departures_passed_on serving{{{.name = "i-1", .state = instance_state::Serving}}};
    BOOST_CHECK_THROW(decodeDepartures(encodeDepartures(serving)), coordination_error);
    const departures_passed_on unnamed{{{.name = "", .state = instance_state::Leaving}}};
    BOOST_CHECK_THROW(decodeDepartures(encodeDepartures(unnamed)), coordination_error);
    BOOST_CHECK_THROW(decodeDepartures({}), coordination_error);
}

BOOST_AUTO_TEST_CASE(confirmation_encoded_namesTheDepartures)
{
    const departures_passed_on message{{leaving, {.name = "i-2", .processStartMs = 1'000}}};
    const departure_message encoded = confirmationOf(message);
    BOOST_TEST((decodeDepartures(encodeDepartures(encoded)) == encoded));
    BOOST_TEST(departureFingerprint(message.departures[0]) != departureFingerprint(message.departures[1]));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
