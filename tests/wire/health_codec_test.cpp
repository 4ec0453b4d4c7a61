#include "wire/health_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// One message of each type.
struct health_codec_fixture {
    health_report report{.dataCentre = "rvk-b",
                         .suspicions = {{{7}, suspicion_level::Hint}, {{9}, suspicion_level::Held}},
                         .consents = {{9}}};
    lost_request death{.attempt = {.request = {0xfeedfacecafebeef}, .instance = {9}}, .account = {3}, .route = {4}};
    quarantine_release release{.request = {5}, .forgiven = {{1}, {2}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(health_codec_test, health_codec_fixture)

BOOST_AUTO_TEST_CASE(messages_roundTrip_same)
{
    BOOST_TEST((decodeHealthReport(encodeHealthReport(report)) == report));
    BOOST_TEST((decodeRelease(encodeRelease(release)) == release));
    const lost_request decoded = decodeDeath(encodeDeath(death));
    BOOST_TEST((decoded.attempt == death.attempt));
    BOOST_TEST((decoded.account == death.account && decoded.route == death.route));
}

BOOST_AUTO_TEST_CASE(messages_cutAnywhere_refused)
{
    const std::vector<std::byte> whole = encodeHealthReport(report);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_CHECK_THROW(decodeHealthReport(std::span(whole).first(length)), coordination_error);
    }
}

BOOST_AUTO_TEST_CASE(healthReport_unknownLevel_refused)
{
    report.suspicions[0].level = static_cast<suspicion_level>(4);
    BOOST_CHECK_THROW(decodeHealthReport(encodeHealthReport(report)), coordination_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
