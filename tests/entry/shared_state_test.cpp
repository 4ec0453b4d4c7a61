#include "daemon/fleet/shared_state.h"
#include "wire/health_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// Creates entries of the shared state that VM 7 owns.
struct shared_state_fixture {
    static spread_entry entryOf(spread_topic topic, std::string name, std::vector<std::byte> payload)
    {
        return {.key = {.topic = topic, .owner = {7}, .name = std::move(name)}, .payload = std::move(payload)};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shared_state_test, shared_state_fixture)

BOOST_AUTO_TEST_CASE(eventOf_healthEntry_reportedThenLost)
{
    const health_report report{.dataCentre = "a", .suspicions = {{{5}, suspicion_level::Held}}};
    spread_entry entry = entryOf(spread_topic::Health, "report", encodeHealthReport(report));
    const auto event = eventOf(entry);
    BOOST_REQUIRE(event);
    BOOST_TEST((std::get<health_reported>(*event).report == report));
    entry.removed = true;
    BOOST_TEST((std::get<health_report_lost>(*eventOf(entry)).reporter == vm_id{7}));
}

BOOST_AUTO_TEST_CASE(eventOf_quarantineEntries_deathAndReleaseTold)
{
    const lost_request death{.attempt = {.request = {3}, .instance = {4}}};
    const auto died = eventOf(entryOf(spread_topic::Quarantine, "3/4", encodeDeath(death)));
    BOOST_TEST((std::get<death_reported>(*died).death.attempt == death.attempt));
    const auto released =
        eventOf(entryOf(spread_topic::Quarantine, std::string(releasePrefix) + "3", encodeRelease({{3}, {{4}}})));
    BOOST_TEST((std::get<release_reported>(*released).forgiven == std::vector<instance_id>{{4}}));
}

BOOST_AUTO_TEST_CASE(eventOf_malformedPayload_throws)
{
    BOOST_CHECK_THROW(eventOf(entryOf(spread_topic::Health, "report", {std::byte{1}})), coordination_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
