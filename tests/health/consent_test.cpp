#include <guavafront/coordination/health/consent.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// One VM of nine, and a service whose six instances form one group.
struct consent_fixture {
    consent_rule rule{.groups = 1, .majority = 5};
    std::vector<consent> given;
    instant now{1h};

    /// The instances that the VM's report consents to.
    std::set<std::uint64_t> decide(std::span<const ejection_motion> motions)
    {
        updateConsents(given, motions, rule, now);
        std::set<std::uint64_t> published;
        for (const consent &mine : given) {
            if (!mine.withdrawn) {
                published.insert(mine.instance.value);
            }
        }
        return published;
    }
};

using ids = std::set<std::uint64_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(consent_test, consent_fixture)

BOOST_AUTO_TEST_CASE(updateConsents_twoOfOneGroup_theOneWithMoreConsents)
{
    const std::array motions{ejection_motion{{1}, 2}, ejection_motion{{2}, 3}};
    BOOST_TEST((decide(motions) == ids{2}));
}

BOOST_AUTO_TEST_CASE(updateConsents_withdrawn_noOtherUntilAllHaveForgotten)
{
    BOOST_TEST((decide(std::array{ejection_motion{{1}}}) == ids{1}));
    now += 1s;
    const std::array other{ejection_motion{{2}}};
    const instant withdrawn = now;
    for (; now < withdrawn + consentMemory; now += 1s) {
        BOOST_TEST(decide(other).empty());
    }
    BOOST_TEST((decide(other) == ids{2}));
}

BOOST_AUTO_TEST_CASE(updateConsents_suspectAgain_sameConsentAtOnce)
{
    const std::array motions{ejection_motion{{1}}};
    decide(motions);
    decide({});
    BOOST_TEST((decide(motions) == ids{1}));
}

BOOST_AUTO_TEST_CASE(updateConsents_splitVote_smallerPartWithdraws)
{
    decide(std::array{ejection_motion{{3}}});
    now += 5s;
    BOOST_TEST((decide(std::array{ejection_motion{{3}, 4}, ejection_motion{{4}, 3}}) == ids{3}));
    BOOST_TEST(decide(std::array{ejection_motion{{2}, 4}, ejection_motion{{3}, 4}}).empty());
}

BOOST_AUTO_TEST_CASE(updateConsents_newLifeOfVm_noneUntilTheOldOneIsForgotten)
{
    rule.firstAt = now + consentMemory;
    const std::array motions{ejection_motion{{1}}};
    BOOST_TEST(decide(motions).empty());
    now = rule.firstAt;
    BOOST_TEST((decide(motions) == ids{1}));
}

// Instances come and go: two that had a group each share one now.
BOOST_AUTO_TEST_CASE(updateConsents_fewerGroups_oneConsentLeft)
{
    rule.groups = 64;
    const std::array motions{ejection_motion{{1}}, ejection_motion{{2}}};
    BOOST_REQUIRE(consentGroup({1}, 64) != consentGroup({2}, 64));
    BOOST_TEST(decide(motions).size() == 2U);
    rule.groups = 1;
    BOOST_TEST(decide(motions).size() == 1U);
    rule.groups = 0;
    BOOST_TEST(decide(motions).empty());
}

BOOST_AUTO_TEST_CASE(consentGroups_oneOfEachOut_neverMoreThanEjectable)
{
    BOOST_TEST(consentGroups(7, 4) == 1U); // Six instances of 4 slots, floor 70 %.
    BOOST_TEST(consentGroups(12, 4) == 3U);
    BOOST_TEST(consentGroups(3, 4) == 0U);
    BOOST_TEST(consentGroups(0, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(consentMajority_anyTwo_shareAVm)
{
    for (std::uint32_t vms = 1; vms < 50; ++vms) {
        BOOST_TEST(2 * consentMajority(vms) > vms);
        BOOST_TEST(consentMajority(vms) <= vms);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
