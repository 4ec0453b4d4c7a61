#define BOOST_TEST_MODULE guavafront
#include <boost/test/unit_test.hpp>

#include <csignal>

namespace
{

/// Ignores SIGPIPE, as the daemons do: tests play clients and relays whose peers are killed.
struct ignored_broken_pipes {
    ignored_broken_pipes()
    {
        std::signal(SIGPIPE, SIG_IGN);
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ignored_broken_pipes);
