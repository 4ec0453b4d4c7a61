#include "daemon/daemon.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <memory>

namespace guavafront
{

namespace
{

/// Mailboxes of a daemon without tasks: posted messages stay.
struct configuration_subscriber_fixture {
    daemon_settings settings;
    daemon_wiring wiring;

    /// Passes on one configuration more than the inbox of the announcements task holds.
    void passOnMany()
    {
        const configuration_subscriber subscriber = configurationSubscriber(settings, wiring);
        for (std::size_t count = 0; count <= daemon_wiring::smallCapacity; ++count) {
            subscriber(std::make_shared<const configuration>());
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_subscriber_test, configuration_subscriber_fixture)

// Guards against 256 whole configurations that stay in the memory of each VM, in an inbox that no task reads.
BOOST_AUTO_TEST_CASE(configurations_entryWithoutAddressForAnnouncements_nonePosted)
{
    settings.vm.roles = {vm_role::Entry};
    passOnMany();
    BOOST_TEST(wiring.announcements.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(configurations_controlWithAddressForAnnouncements_nonePosted)
{
    settings.vm.roles = {vm_role::Control};
    settings.listen.announcements = {.ip = "127.0.0.1", .port = 1};
    passOnMany();
    BOOST_TEST(wiring.announcements.rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(configurations_entryReceivesAnnouncements_posted)
{
    settings.vm.roles = {vm_role::Entry};
    settings.listen.announcements = {.ip = "127.0.0.1", .port = 1};
    passOnMany();
    BOOST_TEST(wiring.announcements.rejected() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
