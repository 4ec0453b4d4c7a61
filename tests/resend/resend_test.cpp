#include "fleet/idempotency_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

BOOST_FIXTURE_TEST_SUITE(resend_test, idempotency_fixture)

BOOST_AUTO_TEST_CASE(resend_atAnotherEntry_firstAnswerAgain)
{
    const http_answer first = fleet.post("entry-1", "/cobros/7", key, "{\"mxn\":90}", "charge-7");
    BOOST_REQUIRE(first.status == 200);
    for (const std::string &entry : fleet.entries()) {
        BOOST_TEST(bodyOf(fleet.post(entry, "/cobros/7", key, "{\"mxn\":90}", "charge-7")) == bodyOf(first));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
