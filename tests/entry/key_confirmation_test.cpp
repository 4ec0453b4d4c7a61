#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// An entry VM that learns from the control VMs only what a test tells it. Its limit is the default of 5 s.
struct key_confirmation_fixture : entry_fixture {
    key_confirmation_fixture()
    {
        controlConfirms = false;
    }

    /// The control VMs' statement: at that time, the revision was the highest accepted one.
    void confirm(instant at, revision accepted)
    {
        run(freshness_changed{.confirmedAt = at, .accepted = accepted});
    }

    /// Whether a keyed request that arrives now is refused as truly not run, with a time to come back.
    bool isKeyedRefused()
    {
        request("GET", "/bookings");
        return refused(result_code::ConfigurationStale, execution::NotRun)
               && find<refuse_request>()->reason.retryAfter > duration::zero();
    }

    /// Whether a request for a route that needs no key is served now.
    bool isOpenServed()
    {
        request("GET", "/flags", std::nullopt);
        return find<start_attempt>() != nullptr;
    }

    revision active = draft->atRevision; ///< Revision in force.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(key_confirmation_test, key_confirmation_fixture)

// Guards against review/1 and 3: entry VMs that reached each other, but no control VM, used withdrawn keys.
BOOST_AUTO_TEST_CASE(request_noConfirmationWithinLimit_keyedRefusedOpenServed)
{
    confirm(now, active);
    now += 5s;
    BOOST_TEST(!isKeyedRefused());
    now += 1ms;
    BOOST_TEST(isKeyedRefused());
    BOOST_TEST(isOpenServed());
    confirm(now - 1s, active);
    BOOST_TEST(!isKeyedRefused());
}

// Guards against review/2: a VM that woke from a freeze used keys before it had read any message of its peers.
BOOST_AUTO_TEST_CASE(request_firstAfterFreeze_keyedRefused)
{
    confirm(now, active);
    now += 7s; // No event is handled meanwhile.
    BOOST_TEST(isKeyedRefused());
    confirm(now - 7s + 1ms, active); // An answer that was written before the freeze.
    BOOST_TEST(isKeyedRefused());
}

BOOST_AUTO_TEST_CASE(request_newerRevisionKnownButNotApplied_confirmationDoesNotCount)
{
    confirm(now, active);
    now += 4s;
    confirm(now, {active.value + 1});
    BOOST_TEST(!isKeyedRefused());
    now += 2s;
    BOOST_TEST(isKeyedRefused());
    applyDraft();
    BOOST_TEST(!isKeyedRefused());
}

BOOST_AUTO_TEST_CASE(confirmation_olderThanKnownOne_limitUnchanged)
{
    confirm(now, active);
    confirm(now - 4s, active);
    now += 4s;
    BOOST_TEST(!isKeyedRefused());
}

BOOST_AUTO_TEST_CASE(request_neverConfirmed_keyedRefusedOpenServed)
{
    state.keysConfirmedAt.reset();
    BOOST_TEST(isKeyedRefused());
    BOOST_TEST(isOpenServed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
