#include "daemon/metrics/mailbox_counters.h"
#include "runtime/mailbox.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/text_serializer.h>

namespace guavafront
{

namespace
{

struct mailbox_counters_fixture {
    prometheus::Registry registry;
    mailbox_counters counters{registry};
    mailbox<int> full{1};

    bool exports(std::string_view line) const
    {
        return prometheus::TextSerializer().Serialize(registry.Collect()).find(line) != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(mailbox_counters_test, mailbox_counters_fixture)

BOOST_AUTO_TEST_CASE(mailbox_full_droppedMessagesCounted)
{
    BOOST_TEST(full.post(1));
    counters.set("entries", full.rejected());
    BOOST_TEST(exports("guavafront_mailbox_dropped_total{mailbox=\"entries\"} 0"));
    BOOST_TEST(!full.post(2));
    BOOST_TEST(!full.post(3));
    counters.set("entries", full.rejected());
    counters.set("entries", full.rejected());
    BOOST_TEST(exports("guavafront_mailbox_dropped_total{mailbox=\"entries\"} 2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
