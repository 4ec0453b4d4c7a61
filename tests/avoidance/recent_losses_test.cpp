#include <guavafront/coordination/upstreams/recent_losses.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Losses of one service at one VM.
struct recent_losses_fixture {
    recent_losses state;

    void end(int served, int unserved, instant at)
    {
        for (int count = 0; count < served; ++count) {
            recordEnd(state, true, at);
        }
        for (int count = 0; count < unserved; ++count) {
            recordEnd(state, false, at);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(recent_losses_test, recent_losses_fixture)

BOOST_AUTO_TEST_CASE(loss_byShare_smallNotableOrSevere)
{
    BOOST_TEST((lossOf(state, instant(10s)) == service_loss::Small));
    end(27, 3, instant(10s));
    BOOST_TEST((lossOf(state, instant(10s)) == service_loss::Small)); // A tenth.
    end(0, 1, instant(11s));
    BOOST_TEST((lossOf(state, instant(11s)) == service_loss::Notable));
    end(0, 4, instant(11s));
    BOOST_TEST((lossOf(state, instant(11s)) == service_loss::Severe));
}

BOOST_AUTO_TEST_CASE(loss_ofFewRequests_small)
{
    end(0, 2, instant(10s));
    BOOST_TEST((lossOf(state, instant(10s)) == service_loss::Small));
}

BOOST_AUTO_TEST_CASE(loss_fourSecondsLater_forgotten)
{
    end(0, 5, instant(10s));
    BOOST_TEST((lossOf(state, instant(13s)) == service_loss::Severe));
    BOOST_TEST((lossOf(state, instant(14s)) == service_loss::Small));
    end(5, 0, instant(15s));
    BOOST_TEST((lossOf(state, instant(15s)) == service_loss::Small));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
