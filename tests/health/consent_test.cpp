#include <guavafront/coordination/health/consent.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// One of nine VMs, and a service whose six instances form one group.
struct consent_fixture {
    consent_rule rule{.groupCount = 1, .majority = 5};
    std::vector<consent> given;
    instant now{1h};

    /// Updates the VM's consents and returns the instances that its report then consents to.
    std::set<std::uint64_t> decide(std::span<const ejection_proposal> proposals)
    {
        updateConsents(given, proposals, rule, now);
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
    const std::array proposals{ejection_proposal{{1}, 2}, ejection_proposal{{2}, 3}};
    BOOST_TEST((decide(proposals) == ids{2}));
}

BOOST_AUTO_TEST_CASE(updateConsents_withdrawn_noOtherUntilItExpires)
{
    BOOST_TEST((decide(std::array{ejection_proposal{{1}}}) == ids{1}));
    now += 1s;
    const std::array other{ejection_proposal{{2}}};
    const instant withdrawn = now;
    for (; now < withdrawn + withdrawnConsentLifetime; now += 1s) {
        BOOST_TEST(decide(other).empty());
    }
    BOOST_TEST((decide(other) == ids{2}));
}

BOOST_AUTO_TEST_CASE(updateConsents_suspectAgain_sameConsentAtOnce)
{
    const std::array proposals{ejection_proposal{{1}}};
    decide(proposals);
    decide({});
    BOOST_TEST((decide(proposals) == ids{1}));
}

BOOST_AUTO_TEST_CASE(updateConsents_splitVote_smallerPartWithdraws)
{
    decide(std::array{ejection_proposal{{3}}});
    now += 5s;
    BOOST_TEST((decide(std::array{ejection_proposal{{3}, 4}, ejection_proposal{{4}, 3}}) == ids{3}));
    BOOST_TEST(decide(std::array{ejection_proposal{{2}, 4}, ejection_proposal{{3}, 4}}).empty());
}

BOOST_AUTO_TEST_CASE(updateConsents_restartedVm_noneUntilEarlierConsentsExpire)
{
    rule.earliestAt = now + withdrawnConsentLifetime;
    const std::array proposals{ejection_proposal{{1}}};
    BOOST_TEST(decide(proposals).empty());
    now = rule.earliestAt;
    BOOST_TEST((decide(proposals) == ids{1}));
}

// Guards against two consents in one group: instances were removed, and two that had a group each now share one.
BOOST_AUTO_TEST_CASE(updateConsents_fewerGroups_oneConsentLeft)
{
    rule.groupCount = 64;
    const std::array proposals{ejection_proposal{{1}}, ejection_proposal{{2}}};
    BOOST_REQUIRE(consentGroupOf({1}, 64) != consentGroupOf({2}, 64));
    BOOST_TEST(decide(proposals).size() == 2U);
    rule.groupCount = 1;
    BOOST_TEST(decide(proposals).size() == 1U);
    rule.groupCount = 0;
    BOOST_TEST(decide(proposals).empty());
}

BOOST_AUTO_TEST_CASE(consentGroups_oneOfEachOut_neverMoreThanEjectable)
{
    BOOST_TEST(consentGroupCount(7, 4) == 1U); // Six instances of 4 slots, floor 70 %.
    BOOST_TEST(consentGroupCount(12, 4) == 3U);
    BOOST_TEST(consentGroupCount(3, 4) == 0U);
    BOOST_TEST(consentGroupCount(0, 0) == 0U);
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
