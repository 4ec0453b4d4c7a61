#include "fleet/idempotency_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

BOOST_FIXTURE_TEST_SUITE(idempotency_test, idempotency_fixture)

BOOST_AUTO_TEST_CASE(resend_controlVmDown_firstAnswerReturned)
{
    fleet.kill("control-1");
    const http_answer first = fleet.post("entry-1", "/cobros/9", key, "{}", "charge-9");
    BOOST_REQUIRE(first.status == 200);
    BOOST_TEST(bodyOf(fleet.post("entry-2", "/cobros/9", key, "{}", "charge-9")) == bodyOf(first));
}

BOOST_AUTO_TEST_CASE(sameKey_otherRequest_conflict)
{
    BOOST_REQUIRE(fleet.post("entry-1", "/cobros/10", key, "{\"mxn\":1}", "charge-10").status == 200);
    BOOST_TEST(fleet.post("entry-2", "/cobros/10", key, "{\"mxn\":2}", "charge-10").status == 422);
}

BOOST_AUTO_TEST_CASE(resend_afterOutcomeUnknown_neverRunsAgain)
{
    const http_answer first = fleet.post("entry-1", "/cobros/11?behaviour=close", key, "{}", "charge-11");
    BOOST_TEST(bodyOf(first).find("\"not_run\":false") != std::string::npos);
    const http_answer second = fleet.post("entry-2", "/cobros/11?behaviour=close", key, "{}", "charge-11");
    BOOST_TEST(bodyOf(second).find("\"not_run\":false") != std::string::npos);
    BOOST_TEST(runsOf("charge-11") <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
