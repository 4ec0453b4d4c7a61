#include "soak/soak_bounds.h"
#include "soak/soak_checks.h"
#include "soak/soak_evacuations.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

instant at(double secondsAfterStart)
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::duration<double>(100 + secondsAfterStart)));
}

/// A record of a calm fleet: version 1 without later routes, version 5 with route 1 and version 9 with route 2 instead.
/// Both were acknowledged, at 1 s and at 10 s. Change 3 is invalid and holds bait 3; change 4 is other content with
/// bait 4.
struct record_fixture {
    soak_record record{.startedAt = at(0), .finalAcknowledged = true};

    record_fixture()
    {
        record.changes = {{.version = 1},
                          {.version = 5, .routes = {1}},
                          {.version = 9, .routes = {2}},
                          {.version = 12, .kind = change_kind::Invalid, .baitRoute = 3},
                          {.kind = change_kind::OtherContent, .baitRoute = 4}};
        send(0, 1, -1, 200);
        send(1, 5, 1, 200);
        send(2, 9, 10, 200);
    }

    sent_change &send(std::size_t change, std::uint64_t version, double time, int status)
    {
        record.sent.push_back({.change = change,
                               .version = version,
                               .sentAt = at(time) - milliseconds(5),
                               .endedAt = at(time),
                               .status = status,
                               .vm = "control-1"});
        return record.sent.back();
    }

    seen_request &request(int route, double time, int status)
    {
        record.requests.push_back({.vm = "entry-1",
                                   .id = "request-" + std::to_string(record.requests.size()),
                                   .route = route,
                                   .sentAt = at(time),
                                   .endedAt = at(time) + milliseconds(5),
                                   .status = status});
        return record.requests.back();
    }

    void read(std::uint64_t version, double time)
    {
        record.reads.push_back({.sentAt = at(time),
                                .endedAt = at(time) + milliseconds(5),
                                .version = version,
                                .asSent = true,
                                .vm = "control-2"});
    }

    void disturb(const std::string &vm, double from, double to, disturbance_kind kind = disturbance_kind::Down)
    {
        record.disturbances.push_back(
            {.vm = vm, .kind = kind, .control = vm.starts_with("control"), .from = at(from), .to = at(to)});
    }

    void arrive(const std::string &instance, const std::string &id)
    {
        record.arrivals.push_back({.at = at(5), .instance = instance, .id = id});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(soak_checks_test, record_fixture)

BOOST_AUTO_TEST_CASE(allChecks_calmAndRightRecord_nothingFound)
{
    request(0, 0.5, 200);
    request(1, 2, 404); // Version 5 need not be in force yet.
    request(1, 3.5, 200);
    request(2, 9, 404);
    request(1, 11, 200); // Version 9 need not be in force yet.
    request(2, 12.5, 200);
    request(1, 12.5, 404);
    request(-4, 12.5, 404);
    read(5, 11);
    read(9, 12.5);
    record.finalReads.push_back({.vm = "control-1", .came = true, .version = 9, .asSent = true});
    const findings broken = checkAll(record);
    BOOST_TEST(broken.empty(), (broken.empty() ? "" : broken.front()));
}

BOOST_AUTO_TEST_CASE(checkApplied_addedRouteUnknownAfterTheBound_found)
{
    request(1, 3.1, 404);
    BOOST_TEST(checkApplied(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkApplied_droppedRouteServedAfterTheBound_found)
{
    request(1, 12.1, 200);
    BOOST_TEST(checkApplied(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkApplied_newerVersionWithoutAnswerMayHoldTheRoute_nothingFound)
{
    send(1, 5, 12, 0);
    record.changes.push_back({.version = 14, .routes = {1}});
    send(5, 14, 12, 0);
    request(1, 12.5, 200);
    request(2, 12.5, 404);
    BOOST_TEST(checkApplied(record).empty());
}

BOOST_AUTO_TEST_CASE(checkApplied_entryJustRestarted_nothingFound)
{
    disturb("entry-1", 2, 3);
    request(1, 5.9, 404);
    request(1, 6.1, 404);
    BOOST_TEST(checkApplied(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkApplied_oneControlVmLost_boundStretched)
{
    disturb("control-2", 2, 3);
    request(1, 5, 404);
    request(1, 8.1, 404); // The core is stable again and the bound is short.
    BOOST_TEST(checkApplied(record).size() == 1U);
    disturb("control-3", 7, 7.5);
    BOOST_TEST(checkApplied(record).size() == 1U); // Later than the stretched bound.
}

BOOST_AUTO_TEST_CASE(checkApplied_mostControlVmsAway_nothingFound)
{
    for (const char *vm : {"control-1", "control-2", "control-3"}) {
        disturb(vm, 8, 9);
    }
    request(1, 10.5, 404);
    BOOST_TEST(checkApplied(record).empty());
    request(1, 12.1, 200);
    BOOST_TEST(checkApplied(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkApplied_firstRouteUnknownOften_found)
{
    disturb("entry-1", 2, 3);
    for (int number = 0; number < 11; ++number) {
        request(0, 4, 404);
    }
    BOOST_TEST(checkApplied(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkReadsNotOlder_olderVersionAfterTheBound_found)
{
    read(5, 12.1);
    BOOST_TEST(checkReadsNotOlder(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkNotRolledBack_effectTakenBackInOneLife_found)
{
    request(1, 1.1, 200);
    request(1, 1.5, 404);
    request(1, 1.6, 200);
    BOOST_TEST(checkNotRolledBack(record).size() == 1U);
    request(2, 10.1, 200);
    request(1, 10.5, 200); // As version 5, which version 9 has replaced.
    BOOST_TEST(checkNotRolledBack(record).size() == 2U);
}

BOOST_AUTO_TEST_CASE(checkNotRolledBack_withinTheSlackOrInAnotherLife_nothingFound)
{
    request(1, 1.1, 200);
    request(1, 1.2, 404);
    disturb("entry-1", 1.3, 1.4);
    request(1, 1.8, 404);
    BOOST_TEST(checkNotRolledBack(record).empty());
}

BOOST_AUTO_TEST_CASE(checkInvalidRefused_acknowledgedReadOrInForce_found)
{
    send(3, 12, 12, 400);
    BOOST_TEST(checkInvalidRefused(record).empty());
    send(3, 12, 12, 200);
    BOOST_TEST(checkInvalidRefused(record).size() == 1U);
    request(-4, 13, 200);
    BOOST_TEST(checkInvalidRefused(record).size() == 2U);
    read(12, 13);
    BOOST_TEST(checkInvalidRefused(record).size() == 3U);
}

BOOST_AUTO_TEST_CASE(checkContentKept_otherContentReadOrInForce_found)
{
    send(4, 9, 12, 200);
    BOOST_TEST(checkContentKept(record).empty());
    request(-5, 13, 200);
    BOOST_TEST(checkContentKept(record).size() == 1U);
    read(9, 13);
    record.reads.back().asSent = false;
    BOOST_TEST(checkContentKept(record).size() == 2U);
}

BOOST_AUTO_TEST_CASE(checkNotRefused_acknowledgedChangeSentAgain_found)
{
    send(2, 9, 12, 503).again = true;
    send(3, 12, 12, 400);
    BOOST_TEST(checkNotRefused(record).empty());
    send(2, 9, 12, 409).again = true;
    BOOST_TEST(checkNotRefused(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkLaterRoutesServed_lessThanAQuarter_found)
{
    for (int number = 0; number < 20; ++number) {
        request(0, 5, 200);
        request(1, 5, number < 5 ? 200 : 503);
    }
    BOOST_TEST(checkLaterRoutesServed(record).empty());
    request(1, 5, 503);
    BOOST_TEST(checkLaterRoutesServed(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkFinalReads_missingOlderOtherOrLate_found)
{
    record.finalReads = {{.vm = "control-1", .last = "503 no leader is known"},
                         {.vm = "control-2", .came = true, .version = 5, .asSent = true},
                         {.vm = "control-3", .came = true, .version = 9, .asSent = false},
                         {.vm = "control-4", .came = true, .version = 9, .asSent = true, .after = seconds(16)},
                         {.vm = "control-5", .came = true, .version = 9, .asSent = true, .after = seconds(14)}};
    BOOST_TEST(checkFinalReads(record).size() == 4U);
    record.finalAcknowledged = false;
    BOOST_TEST(checkFinalReads(record).size() == 5U);
}

BOOST_AUTO_TEST_CASE(checkPlannedWorkCutsNothing_readRequestCutInCalm_found)
{
    disturb("entry-1", 5, 8, disturbance_kind::Stopped);
    seen_request &cut = request(0, 4.9, 0);
    cut.cut = true;
    cut.endedAt = at(5.05);
    BOOST_TEST(checkPlannedWorkCutsNothing(record).empty()); // Perhaps it was not read.
    arrive("instance-1", cut.id);
    BOOST_TEST(checkPlannedWorkCutsNothing(record).size() == 1U);
    record.arrivals.clear();
    cut.endedAt = at(5.2);
    BOOST_TEST(checkPlannedWorkCutsNothing(record).size() == 1U);
    disturb("control-1", 3, 4);
    BOOST_TEST(checkPlannedWorkCutsNothing(record).empty());
}

BOOST_AUTO_TEST_CASE(checkPlannedWorkCutsNothing_ownFailureInPlaceOfAnAnswer_found)
{
    disturb("entry-1", 5, 5, disturbance_kind::Reloaded);
    arrive("instance-1", request(0, 5.1, 504).id);
    BOOST_TEST(checkPlannedWorkCutsNothing(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checkRunOnce_runTwiceOrRefusedAndRun_found)
{
    seen_request &twice = request(0, 5, 504);
    twice.once = true;
    arrive("instance-1", twice.id);
    BOOST_TEST(checkRunOnce(record).empty());
    arrive("instance-2", twice.id);
    BOOST_TEST(checkRunOnce(record).size() == 1U);
    seen_request &refused = request(0, 5, 503);
    refused.once = true;
    arrive("instance-1", refused.id);
    BOOST_TEST(checkRunOnce(record).size() == 2U);
}

BOOST_AUTO_TEST_CASE(checkNoneEnded_processEnded_found)
{
    record.ended = {"control-3"};
    BOOST_TEST(checkNoneEnded(record).size() == 1U);
}

BOOST_AUTO_TEST_CASE(evacuated_arrivalAfterTheBound_broken)
{
    record.evacuations = {{.acknowledgedAt = at(20), .revokedAt = at(28), .instances = {"instance-3"}}};
    const auto arrive = [this](double time, const std::string &instance) {
        record.arrivals.push_back({.at = at(time), .instance = instance, .id = request(0, time, 200).id});
    };
    arrive(19, "instance-3");
    arrive(24.9, "instance-3"); // Within EvacMs.
    arrive(27, "instance-1");
    arrive(28.1, "instance-3"); // After the revocation.
    BOOST_TEST(checkEvacuated(record).empty());
    arrive(25.1, "instance-3");
    BOOST_TEST(checkEvacuated(record).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
