#include "model/urgency_run.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Replays loads and failures of one service at 47 entry VMs with their whole decisions. 24 instances of 4 slots run
/// three kinds of requests, whose work is 0.65 of the slots; the load or failure lasts from 6 to 13 s.
struct urgency_fixture {
    static constexpr duration from = 6s; ///< Start of what goes wrong.
    static constexpr duration to = 13s; ///< Its end.
    static constexpr std::size_t urgent = 0; ///< Index of the most urgent kind.
    static constexpr std::size_t usual = 1; ///< Index of the kind in the middle.
    static constexpr std::size_t patient = 2; ///< Index of the least urgent kind.
    /// A lower rank may be served more often by this share than what ranks above it.
    static constexpr double servedTolerance = 0.05;
    /// The same for the share answered within the target.
    static constexpr double inTargetTolerance = 0.15;
    static constexpr double calmServed = 0.99; ///< Least share served while nothing is wrong.
    static constexpr double leastPart = 0.25; ///< Least part of the service's share that each kind gets.

    bench::urgency_options options;

    urgency_fixture()
    {
        const double unit = static_cast<double>(options.instances) * options.slots / 0.3;
        options.kinds = {{.name = "urgent", .requestsPerSecond = 0.25 * unit},
                         {.name = "usual", .accountPriority = 1, .requestsPerSecond = 0.2 * unit},
                         {.name = "patient", .accountPriority = 2, .requestsPerSecond = 0.2 * unit}};
    }

    void surge(std::size_t kind, double factor)
    {
        options.surges.push_back({.kind = options.kinds[kind].name, .factor = factor, .from = from, .to = to});
    }

    bench::urgency_result runOrdered(bool urgencyOrder = true)
    {
        options.urgencyOrder = urgencyOrder;
        return run(options, from, to);
    }

    /// Checks what holds under any load: no lower rank is served more often or better, and none starves.
    void requireOrder(const bench::urgency_result &result) const
    {
        bench::kind_result all;
        for (const bench::kind_result &each : result.kinds) {
            all.requests += each.requests;
            all.served += each.served;
        }
        for (std::size_t kind = 0; kind < result.kinds.size(); ++kind) {
            const double served = servedShare(result.kinds[kind]);
            BOOST_TEST(served >= leastPart * servedShare(all), options.kinds[kind].name << " starves: " << served);
            for (std::size_t above = 0; above < kind; ++above) {
                BOOST_TEST(served <= servedShare(result.kinds[above]) + servedTolerance,
                           options.kinds[kind].name << " served more often than " << options.kinds[above].name);
                BOOST_TEST(inTargetShare(result.kinds[kind]) <= inTargetShare(result.kinds[above]) + inTargetTolerance,
                           options.kinds[kind].name << " served better than " << options.kinds[above].name);
            }
        }
        BOOST_TEST(result.lateRetries == 0U, "a Retry-After beyond a third of the time left");
    }

    /// Checks that what arrives from 2 s after the end on is served in full.
    void requireRecovered(const bench::urgency_result &result) const
    {
        bench::kind_result after;
        for (std::size_t second = to / 1s + 2; second < 20; ++second) {
            after.requests += result.seconds[second].all.requests;
            after.served += result.seconds[second].all.served;
        }
        BOOST_TEST(servedShare(after) >= calmServed, "after the end " << servedShare(after));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(urgency_test, urgency_fixture)

/// Guards against refusals and waits that the order by urgency causes while capacity is ample.
BOOST_AUTO_TEST_CASE(urgency_calm_allServed)
{
    const bench::urgency_result result = runOrdered();
    for (const bench::kind_result &each : result.kinds) {
        BOOST_TEST(servedShare(each) >= calmServed);
    }
}

/// Guards against a surge of the least urgent kind that takes the capacity from the others.
BOOST_AUTO_TEST_CASE(urgency_patientTimesFour_othersKeepTheirLevel)
{
    surge(patient, 4);
    const bench::urgency_result before = runOrdered(false);
    const bench::urgency_result after = runOrdered();
    requireOrder(after);
    requireRecovered(after);
    BOOST_TEST(servedShare(after.kinds[urgent]) >= calmServed - servedTolerance);
    BOOST_TEST(inTargetShare(after.kinds[urgent]) >= calmServed - inTargetTolerance);
    BOOST_TEST(inTargetShare(after.kinds[urgent]) > inTargetShare(before.kinds[urgent]));
    BOOST_TEST(inTargetShare(after.kinds[usual]) > inTargetShare(before.kinds[usual]));
}

/// Guards against two accounts that send many times their rate while the least urgent kind surges, too.
BOOST_AUTO_TEST_CASE(urgency_twoAccountsFlood_mostUrgentKeepsItsLevel)
{
    surge(patient, 4);
    for (const auto &[name, factor] : {std::pair("flood-6", 6.0), std::pair("flood-8", 8.0)}) {
        options.kinds.push_back({.name = name, .accountPriority = 2, .requestsPerSecond = 8});
        surge(options.kinds.size() - 1, factor);
    }
    const bench::urgency_result before = runOrdered(false);
    const bench::urgency_result after = runOrdered();
    BOOST_TEST(servedShare(after.kinds[urgent]) >= calmServed - servedTolerance);
    BOOST_TEST(inTargetShare(after.kinds[urgent]) >= calmServed - inTargetTolerance);
    BOOST_TEST(inTargetShare(after.kinds[urgent]) > inTargetShare(before.kinds[urgent]));
    BOOST_TEST(servedShare(after.kinds[patient]) <= servedShare(after.kinds[usual]) + servedTolerance);
    requireRecovered(after);
}

/// Guards against a shortage that falls on all ranks alike.
BOOST_AUTO_TEST_CASE(urgency_halfOfTheInstancesLeave_shortageFallsOnLowRanks)
{
    options.left = {.share = 0.5, .from = from, .to = to};
    const bench::urgency_result before = runOrdered(false);
    const bench::urgency_result after = runOrdered();
    requireOrder(after);
    requireRecovered(after);
    BOOST_TEST(inTargetShare(after.kinds[urgent]) > inTargetShare(before.kinds[urgent]));
}

/// Guards against a limit that the refusals of a burst leave small for long after it.
BOOST_AUTO_TEST_CASE(urgency_halfOfTheRequestsRefused_recoveredWithinTwoSeconds)
{
    options.refusing = {.share = 0.5, .from = 5s, .to = to};
    requireRecovered(runOrdered());
}

/// Guards against use of sums that a dead hub no longer renews.
BOOST_AUTO_TEST_CASE(urgency_hubSilentUnderLoad_orderKept)
{
    surge(patient, 4);
    options.silentHub = {.share = 1, .from = 8s, .to = 20s};
    const bench::urgency_result result = runOrdered();
    requireOrder(result);
    requireRecovered(result);
}

/// Guards against VMs that start under load, know no loads yet and send without limit.
BOOST_AUTO_TEST_CASE(urgency_vmsRestartUnderLoad_orderKept)
{
    surge(patient, 4);
    options.restarted = {.share = 0.25, .from = 8s, .to = 8s};
    const bench::urgency_result result = runOrdered();
    requireOrder(result);
    requireRecovered(result);
}

/// Guards against VMs that all react to the same outdated sums: the load of the instances oscillates then.
BOOST_AUTO_TEST_CASE(urgency_sumsLate_instancesQueueAboutHalfOfTheirSlots)
{
    constexpr double mostLoad = 1.5;
    constexpr double mostDeviation = 0.25;
    surge(urgent, 2);
    surge(usual, 2);
    surge(patient, 2);
    for (const double part : {1.0, 0.5}) {
        options.vmsWithLoad = part;
        options.sumDelay = 100ms;
        const bench::urgency_result result = runOrdered();
        for (std::size_t second = 8; second < 13; ++second) {
            BOOST_TEST(result.seconds[second].instanceLoad <= mostLoad, "second " << second);
            BOOST_TEST(result.seconds[second].instanceLoadDeviation <= mostDeviation, "second " << second);
        }
    }
}

/// Guards against callers that repeat at once and often, whose resends take the place of more urgent requests.
BOOST_AUTO_TEST_CASE(urgency_callersResendAtOnce_orderKept)
{
    surge(patient, 8);
    for (bench::request_kind &each : options.kinds) {
        each.resends = 5;
        each.ignoresRetryAfter = true;
    }
    requireOrder(runOrdered());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
