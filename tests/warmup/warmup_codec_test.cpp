#include "wire/registry_codec.h"
#include "wire/warmup_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

struct warmup_codec_fixture {
    std::vector<warmup_notice> notices{{{0xfeedfacecafebeef}, 3s}, {{1}, 1ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_codec_test, warmup_codec_fixture)

BOOST_AUTO_TEST_CASE(cbor_roundTrip_same)
{
    BOOST_TEST((decodeWarmups(encodeWarmups(notices)) == notices));
    // Rounded up, so that no VM takes the instance as warm too early.
    notices = {{{1}, 1ms + duration(1)}};
    BOOST_TEST((decodeWarmups(encodeWarmups(notices)).front().left == 2ms));
}

BOOST_AUTO_TEST_CASE(cbor_cutAnywhere_malformed)
{
    const std::vector<std::byte> whole = encodeWarmups(notices);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_CHECK_THROW(decodeWarmups(std::span(whole).first(length)), coordination_error);
    }
}

// A VM of the previous build takes the message for an announcement; it must drop it and not fail.
BOOST_AUTO_TEST_CASE(cbor_readAsAnnouncement_malformed)
{
    BOOST_CHECK_THROW(decodeAnnouncement(encodeWarmups(notices)), coordination_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
