#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// An entry VM that is told of an instance by other VMs.
struct instance_news_fixture : entry_fixture {
    static constexpr vm_id registrar{9};
    static constexpr vm_id home{5};
    announcement known{.instance = {70},
                       .name = "i-70",
                       .processStartMs = 1'000,
                       .sequence = 3,
                       .service = "reservas",
                       .ip = "127.0.0.1",
                       .port = 9'070,
                       .dataCentre = "gdl-a",
                       .lease = std::chrono::minutes(1)};
    const departure leaves{.name = "i-70", .processStartMs = 1'000};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(instance_news_test, instance_news_fixture)

BOOST_AUTO_TEST_CASE(announcement_newInstance_reportedWithItsPath)
{
    run(instance_reported{registrar, known, news_path::CatchUp, home});
    const auto *report = find<report_instance>();
    BOOST_TEST_REQUIRE(report);
    BOOST_TEST((report->step == registry_step::Serving));
    BOOST_TEST((report->registrar == registrar));
    BOOST_TEST((report->path == news_path::CatchUp));
    BOOST_TEST((report->from == home));
    BOOST_TEST(report->sequence == 3U);
    BOOST_TEST(!report->before);
    ++known.sequence;
    run(instance_reported{registrar, known});
    BOOST_TEST(!find<report_instance>());
}

BOOST_AUTO_TEST_CASE(departure_knownAndUnknownInstance_reportedWithWhatWasKnown)
{
    run(departure_reported{leaves, home});
    BOOST_TEST_REQUIRE(find<report_departure>());
    BOOST_TEST(!find<report_departure>()->before);
    BOOST_TEST(!find<report_departure>()->changed);
    known.processStartMs = 2'000;
    run(instance_reported{registrar, known});
    run(departure_reported{{.name = "i-70", .processStartMs = 2'000}, home});
    const auto *report = find<report_departure>();
    BOOST_TEST_REQUIRE(report);
    BOOST_TEST((report->from == home));
    BOOST_TEST(report->changed);
    BOOST_TEST_REQUIRE(report->before.has_value());
    BOOST_TEST((report->before->state == instance_state::Serving));
    BOOST_TEST((report->before->registrar == registrar));
}

BOOST_AUTO_TEST_CASE(departedInstance_withdrawn_reportedWithItsState)
{
    run(instance_reported{registrar, known});
    run(departure_reported{leaves, home});
    run(instance_withdrawn{registrar, known.instance});
    const auto *report = find<report_instance>();
    BOOST_TEST_REQUIRE(report);
    BOOST_TEST((report->step == registry_step::Withdrawn));
    BOOST_TEST_REQUIRE(report->before.has_value());
    BOOST_TEST((report->before->state == instance_state::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
