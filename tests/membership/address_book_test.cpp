#include <guavafront/coordination/membership/address_book.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// A book of three addresses.
struct address_book_fixture {
    address_book stored{{"10.0.0.1:7560", "10.0.0.2:7560", "10.0.0.3:7560"}};

    /// As many addresses as asked for, none of them in the book.
    static std::vector<std::string> others(std::size_t count)
    {
        std::vector<std::string> addresses;
        for (std::size_t number = 0; number < count; ++number) {
            addresses.push_back("10.0.1." + std::to_string(number) + ":7560");
        }
        return addresses;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(address_book_test, address_book_fixture)

BOOST_AUTO_TEST_CASE(book_containsAllLive_notWritten)
{
    BOOST_TEST(!updatedBook(stored, {}).has_value());
    BOOST_TEST(!updatedBook(stored, std::vector<std::string>{"10.0.0.3:7560"}).has_value());
    BOOST_TEST(!updatedBook(stored, stored.addresses).has_value());
}

BOOST_AUTO_TEST_CASE(book_lacksALiveVm_liveFirstAndOthersKept)
{
    const std::vector<std::string> live{"10.0.0.9:7560", "10.0.0.2:7560"};
    const address_book expected{{"10.0.0.9:7560", "10.0.0.2:7560", "10.0.0.1:7560", "10.0.0.3:7560"}};
    BOOST_TEST((updatedBook(stored, live) == expected));
}

BOOST_AUTO_TEST_CASE(book_moreAddressesThanRoom_oldestFormerOnesLeftOut)
{
    const std::vector<std::string> live = others(maxBookAddresses - 2);
    const auto updated = updatedBook(stored, live);
    BOOST_REQUIRE(updated.has_value());
    BOOST_TEST(updated->addresses.size() == maxBookAddresses);
    BOOST_TEST(updated->addresses.back() == "10.0.0.2:7560");
    BOOST_TEST(!updatedBook(*updated, live).has_value());
}

BOOST_AUTO_TEST_CASE(book_moreLiveVmsThanRoom_firstOnesKeptAndNotWrittenAgain)
{
    const std::vector<std::string> live = others(2 * maxBookAddresses);
    const auto updated = updatedBook(stored, live);
    BOOST_REQUIRE(updated.has_value());
    BOOST_TEST(updated->addresses == std::vector<std::string>(live.begin(), live.begin() + maxBookAddresses),
               boost::test_tools::per_element());
    BOOST_TEST(!updatedBook(*updated, live).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
