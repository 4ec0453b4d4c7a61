#define BOOST_TEST_MODULE guavafront
#include <boost/test/unit_test.hpp>
