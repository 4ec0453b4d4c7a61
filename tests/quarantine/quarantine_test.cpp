#include <guavafront/coordination/quarantine/quarantine.h>

#include <boost/test/unit_test.hpp>

#include <array>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t deathsToQuarantine = 3;
constexpr instant start{1h};
constexpr request_fingerprint culprit{77};

/// Two VMs; the deaths that the first one confirms are recorded at the second one as well.
struct quarantine_fixture {
    quarantine here;
    quarantine there;

    static lost_request lost(std::uint64_t instance, request_fingerprint request = culprit)
    {
        return {.attempt = {.request = request, .instance = {instance}}, .account = {5}, .route = {6}, .lostAt = start};
    }

    /// The instance dies while it runs the request. One VM loses the connection and reports the death to the other.
    void die(std::uint64_t instance)
    {
        onConnectionLost(here, lost(instance));
        for (const lost_request &death : onInstanceDied(here, {instance}, start + 1s)) {
            recordDeath(there, death, start + 1s);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine_test, quarantine_fixture)

BOOST_AUTO_TEST_CASE(isQuarantined_diedOfItThreeTimes_heldOnBothVms)
{
    die(1);
    die(2);
    BOOST_TEST(!isQuarantined(here, culprit, deathsToQuarantine));
    BOOST_TEST(isSuspectRequest(there, culprit));
    die(3);
    BOOST_TEST(isQuarantined(here, culprit, deathsToQuarantine));
    BOOST_TEST(isQuarantined(there, culprit, deathsToQuarantine));
    BOOST_TEST(!isQuarantined(here, {78}, deathsToQuarantine));
}

// Guards against holding back a harmless request that many callers send while a bad link cuts the connections to every
// instance.
BOOST_AUTO_TEST_CASE(isQuarantined_connectionsLostWithoutDeaths_notHeld)
{
    for (std::uint64_t instance = 1; instance <= 5; ++instance) {
        onConnectionLost(here, lost(instance));
    }
    BOOST_TEST(!isQuarantined(here, culprit, deathsToQuarantine));
    BOOST_TEST(!isSuspectRequest(here, culprit));
}

BOOST_AUTO_TEST_CASE(onInstanceAlive_answeredAfterTheLoss_laterDeathNotCounted)
{
    onConnectionLost(here, lost(1));
    onInstanceAlive(here, {1}, start + 1s);
    BOOST_TEST(onInstanceDied(here, {1}, start + 2s).empty());
    onConnectionLost(here, lost(2));
    // This request was sent before the loss, so its answer does not show that the instance survived.
    onInstanceAlive(here, {2}, start - 1s);
    BOOST_TEST(onInstanceDied(here, {2}, start + 2s).size() == 1);
}

BOOST_AUTO_TEST_CASE(onInstanceDied_sameDeathTwice_countedOnce)
{
    die(1);
    die(1);
    die(1);
    BOOST_TEST(!isQuarantined(here, culprit, 2));
}

BOOST_AUTO_TEST_CASE(onInstanceDied_longAfterTheLoss_notCounted)
{
    onConnectionLost(here, lost(1));
    BOOST_TEST(onInstanceDied(here, {1}, start + 1min).empty());
    BOOST_TEST(!isSuspectRequest(here, culprit));
}

BOOST_AUTO_TEST_CASE(isQuarantined_bystanderOfOneDeath_notHeld)
{
    onConnectionLost(here, lost(1, {99}));
    die(1);
    die(2);
    die(3);
    BOOST_TEST(!isQuarantined(here, {99}, deathsToQuarantine));
    BOOST_TEST(listQuarantined(here, deathsToQuarantine).size() == 1);
}

BOOST_AUTO_TEST_CASE(release_heldRequest_runsAgainUntilNewDeaths)
{
    for (std::uint64_t instance = 1; instance <= 3; ++instance) {
        die(instance);
    }
    const std::optional<death_record> released = release(here, culprit, start);
    BOOST_REQUIRE(released);
    recordRelease(there, culprit, released->forgiven, start);
    BOOST_TEST(!isQuarantined(here, culprit, deathsToQuarantine));
    BOOST_TEST(!isQuarantined(there, culprit, deathsToQuarantine));
    die(3); // A death that was forgiven stays forgiven when it is reported again.
    BOOST_TEST(!isSuspectRequest(there, culprit));
    for (std::uint64_t instance = 4; instance <= 6; ++instance) {
        die(instance);
    }
    BOOST_TEST(isQuarantined(there, culprit, deathsToQuarantine));
}

BOOST_AUTO_TEST_CASE(recordRelease_beforeTheDeaths_sameResult)
{
    const std::array forgiven{instance_id{1}, instance_id{2}, instance_id{3}};
    recordRelease(there, culprit, forgiven, start);
    for (std::uint64_t instance = 1; instance <= 3; ++instance) {
        die(instance);
    }
    BOOST_TEST(isQuarantined(here, culprit, deathsToQuarantine));
    BOOST_TEST(!isSuspectRequest(there, culprit));
}

BOOST_AUTO_TEST_CASE(expire_noNewDeath_forgotten)
{
    die(1);
    expire(here, start + 2h);
    BOOST_TEST(here.records.empty());
}

BOOST_AUTO_TEST_CASE(fingerprintOf_resend_sameAndOthersDiffer)
{
    const request_fingerprint first = fingerprintOf({1}, {2}, {.high = 3, .low = 4});
    BOOST_TEST((first == fingerprintOf({1}, {2}, {.high = 3, .low = 4})));
    BOOST_TEST((first != fingerprintOf({2}, {1}, {.high = 3, .low = 4})));
    BOOST_TEST((first != fingerprintOf({1}, {2}, {.high = 4, .low = 3})));
    BOOST_TEST((first != fingerprintOf({1}, {2}, {.high = 3, .low = 5})));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
