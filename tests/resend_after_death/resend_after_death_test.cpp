#include "fleet/idempotency_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

BOOST_FIXTURE_TEST_SUITE(resend_after_death_test, idempotency_fixture)

BOOST_AUTO_TEST_CASE(resend_afterTheFirstEntryDied_firstAnswerAgain)
{
    const http_answer first = fleet.post("entry-1", "/cobros/8", key, "{}", "charge-8");
    BOOST_REQUIRE(first.status == 200);
    fleet.kill("entry-1");
    BOOST_TEST(bodyOf(fleet.post("entry-2", "/cobros/8", key, "{}", "charge-8")) == bodyOf(first));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
