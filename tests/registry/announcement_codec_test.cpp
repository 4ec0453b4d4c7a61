#include "wire/announcement_json.h"
#include "wire/registry_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Announcement in which every field but warmupLeft differs from its default.
struct announcement_fixture {
    announcement value{.instance = {0xfeedfacecafebeef},
                       .name = "i-7f3a91c2",
                       .processStartMs = 1'771'761'397'068,
                       .sequence = 42,
                       .service = "flaggstjorn",
                       .ip = "10.1.2.3",
                       .port = 8080,
                       .dataCentre = "dc-2",
                       .slots = 6,
                       .state = instance_state::Draining,
                       .load = 0.25F,
                       .lease = 3s};

    /// Result code of the error that parsing the JSON throws; Ok when it throws none.
    static result_code codeOf(std::string_view text)
    {
        try {
            parseAnnouncementJson(text, 3s);
            return result_code::Ok;
        } catch (const coordination_error &error) {
            return error.code();
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(announcement_codec_test, announcement_fixture)

BOOST_AUTO_TEST_CASE(cbor_roundTrip_same)
{
    BOOST_TEST((decodeAnnouncement(encodeAnnouncement(value)) == value));
}

BOOST_AUTO_TEST_CASE(cbor_cutAnywhere_malformed)
{
    const std::vector<std::byte> whole = encodeAnnouncement(value);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_CHECK_THROW(decodeAnnouncement(std::span(whole).first(length)), coordination_error);
    }
}

BOOST_AUTO_TEST_CASE(cbor_fieldOutOfRange_malformed)
{
    value.load = 1.5F;
    BOOST_CHECK_THROW(decodeAnnouncement(encodeAnnouncement(value)), coordination_error);
}

BOOST_AUTO_TEST_CASE(json_roundTrip_same)
{
    BOOST_TEST((parseAnnouncementJson(toJson(value), 1s) == value));
}

BOOST_AUTO_TEST_CASE(json_noLease_default)
{
    constexpr std::string_view text = R"({"instance":"a1","sequence":1,"service":"rutas","ip":"::1","port":80,
        "data_centre":"a","slots":4,"state":"serving"})";
    BOOST_TEST((parseAnnouncementJson(text, 2s).lease == 2s));
}

BOOST_AUTO_TEST_CASE(json_badInput_refused)
{
    BOOST_TEST((codeOf("[]") == result_code::AnnouncementRefused));
    BOOST_TEST((codeOf("{") == result_code::AnnouncementRefused));
    BOOST_TEST((codeOf(R"({"state":"serving","instance":7})") == result_code::AnnouncementRefused));
    value.ip = "upstream.example";
    BOOST_TEST((codeOf(toJson(value)) == result_code::AnnouncementRefused));
    value.ip = "10.1.2.3";
    value.slots = 0;
    BOOST_TEST((codeOf(toJson(value)) == result_code::AnnouncementRefused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
