#include <guavafront/coordination/evacuation/evacuation.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

/// Orders about one data centre, with times in milliseconds after an arbitrary start.
struct evacuation_fixture {
    static constexpr std::uint64_t startMs = 1'700'000'000'000; ///< Time of the leader's clock at the start.
    std::vector<evacuation> list; ///< State under test.

    order_effect start(std::uint64_t afterMs, const std::string &dataCentre = "occ-a")
    {
        return applyOrder(list, {dataCentre, evacuation_action::Start, startMs + afterMs});
    }

    order_effect end(std::uint64_t afterMs, const std::string &dataCentre = "occ-a")
    {
        return applyOrder(list, {dataCentre, evacuation_action::End, startMs + afterMs});
    }

    bool isClosed(const std::string &dataCentre = "occ-a") const
    {
        const evacuation *known = findEvacuation(list, dataCentre);
        return known != nullptr && known->inForce;
    }
};

/// The rule in its own words, over the whole history of accepted orders of one data centre.
struct order_history {
    /// An order that was applied.
    struct applied_order {
        bool start = false;
        std::uint64_t atMs = 0;
    };
    std::vector<applied_order> applied; ///< Oldest first.

    bool inForce() const
    {
        return !applied.empty() && applied.back().start;
    }

    order_effect take(bool start, std::uint64_t atMs)
    {
        if (start == inForce()) {
            return order_effect::InForce;
        }
        const auto last = std::find_if(applied.rbegin(), applied.rend(),
                                       [start](const applied_order &each) { return each.start == start; });
        if (last != applied.rend() && atMs - last->atMs < orderResendMs) {
            return order_effect::LateDuplicate;
        }
        applied.push_back({start, atMs});
        return order_effect::Applied;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_test, evacuation_fixture)

BOOST_AUTO_TEST_CASE(order_new_applied)
{
    BOOST_CHECK(start(0) == order_effect::Applied);
    BOOST_TEST(isClosed());
    BOOST_TEST(!isClosed("occ-b"));
    BOOST_CHECK(end(100) == order_effect::Applied);
    BOOST_TEST(!isClosed());
}

// Guards against a resend that extends the time in which a later order counts as a copy.
BOOST_AUTO_TEST_CASE(order_repeatedWhileInForce_noTimeRenewed)
{
    start(0);
    const std::vector<evacuation> before = list;
    BOOST_CHECK(start(3'000) == order_effect::InForce);
    BOOST_CHECK(list == before);
    end(3'500);
    BOOST_CHECK(start(4'000) == order_effect::Applied);
    BOOST_TEST(isClosed());
}

BOOST_AUTO_TEST_CASE(revocation_nothingInForce_noEffect)
{
    BOOST_CHECK(end(0) == order_effect::InForce);
    BOOST_TEST(list.empty());
}

// Guards against two orders that cross: a copy of the first arrives after the second and would undo it.
BOOST_AUTO_TEST_CASE(order_copyAfterTheOpposite_notAppliedWithinTheTimeOfResends)
{
    start(0);
    end(1'000);
    BOOST_CHECK(start(3'999) == order_effect::LateDuplicate);
    BOOST_TEST(!isClosed());
    BOOST_CHECK(start(4'000) == order_effect::Applied);
    BOOST_CHECK(end(4'500) == order_effect::LateDuplicate);
    BOOST_TEST(isClosed());
    BOOST_CHECK(end(5'000) == order_effect::Applied);
}

// Guards against a new leader whose clock is an hour behind: its orders would count as copies for an hour.
BOOST_AUTO_TEST_CASE(order_clockSetBack_applied)
{
    constexpr std::uint64_t hourMs = 3'600'000;
    start(hourMs);
    end(hourMs + 500);
    BOOST_CHECK(start(0) == order_effect::Applied);
    BOOST_TEST(isClosed());
}

BOOST_AUTO_TEST_CASE(forget_revoked_removedElseKept)
{
    start(0, "occ-b");
    start(0);
    end(100);
    BOOST_CHECK(applyOrder(list, {"occ-b", evacuation_action::Forget, 0}) == order_effect::InForce);
    BOOST_CHECK(applyOrder(list, {"occ-a", evacuation_action::Forget, 0}) == order_effect::Applied);
    BOOST_CHECK(applyOrder(list, {"occ-a", evacuation_action::Forget, 0}) == order_effect::InForce);
    BOOST_CHECK(evacuatedDataCentres(list) == std::vector<std::string>{"occ-b"});
    BOOST_TEST(list.size() == 1U);
}

// Replays random orders of three data centres and compares each effect with the rule over the whole history, which the
// state keeps only two times of.
BOOST_AUTO_TEST_CASE(orders_randomSchedules_sameEffectsAsTheWholeHistory)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<evacuation> state;
        std::vector<order_history> histories(3);
        std::uint64_t nowMs = startMs;
        for (int number = 0; number < 200; ++number) {
            nowMs += random() % 2'500;
            const std::size_t which = random() % histories.size();
            const bool isStart = random() % 2 == 0;
            const evacuation_order order{std::to_string(which),
                                         isStart ? evacuation_action::Start : evacuation_action::End, nowMs};
            const order_effect expected = histories[which].take(isStart, nowMs);
            BOOST_TEST_REQUIRE(static_cast<int>(applyOrder(state, order)) == static_cast<int>(expected),
                               "seed " << seed << ", order " << number);
            const evacuation *known = findEvacuation(state, order.dataCentre);
            BOOST_TEST_REQUIRE((known != nullptr && known->inForce) == histories[which].inForce(), "seed " << seed);
        }
        BOOST_TEST(std::ranges::is_sorted(state, {}, &evacuation::dataCentre));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
