#include "storage/address_book_file.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/resource.h>

namespace guavafront
{

namespace
{

/// Temporary data folder with an address book.
struct address_book_file_fixture {
    std::string folder; ///< Path of the data folder, which the destructor removes.
    address_book book{{"10.0.0.1:7560", "[::1]:7560"}}; ///< Book in the folder.

    address_book_file_fixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "address_book_XXXXXX").string();
        folder = mkdtemp(pattern.data());
        writeAddressBook(folder, book);
    }

    ~address_book_file_fixture()
    {
        std::filesystem::remove_all(folder);
    }

    address_book_file_fixture(const address_book_file_fixture &) = delete;
    address_book_file_fixture &operator=(const address_book_file_fixture &) = delete;

    std::string content() const
    {
        std::ifstream input(folder + "/addresses", std::ios::binary);
        return {std::istreambuf_iterator<char>(input), {}};
    }

    void replaceContent(const std::string &bytes) const
    {
        std::ofstream(folder + "/addresses", std::ios::binary) << bytes;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(address_book_file_test, address_book_file_fixture)

BOOST_AUTO_TEST_CASE(book_written_readAgainAndReplaced)
{
    BOOST_TEST((readAddressBook(folder) == book));
    const address_book other{std::vector<std::string>(maxBookAddresses, "255.255.255.255:65535")};
    writeAddressBook(folder, other);
    BOOST_TEST((readAddressBook(folder) == other));
}

BOOST_AUTO_TEST_CASE(book_missing_emptyAndNoFileCreated)
{
    std::filesystem::remove(folder + "/addresses");
    BOOST_TEST((readAddressBook(folder) == address_book{}));
    BOOST_TEST(std::filesystem::is_empty(folder));
}

BOOST_AUTO_TEST_CASE(book_anyByteFlippedOrTorn_empty)
{
    const std::string whole = content();
    BOOST_REQUIRE(!whole.empty());
    for (std::size_t at = 0; at < whole.size(); ++at) {
        replaceContent(whole.substr(0, at));
        BOOST_TEST((readAddressBook(folder) == address_book{}), "torn at byte " << at);
        std::string flipped = whole;
        flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
        replaceContent(flipped);
        BOOST_TEST((readAddressBook(folder) == address_book{}), "flipped at byte " << at);
    }
}

BOOST_AUTO_TEST_CASE(book_holdsNoAddress_empty)
{
    writeAddressBook(folder, {{"10.0.0.1:7560", "somewhere"}});
    BOOST_TEST((readAddressBook(folder) == address_book{}));
}

BOOST_AUTO_TEST_CASE(write_diskFull_storeFullAndFormerBookKept)
{
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit small{8, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    result_code code = result_code::Ok;
    try {
        writeAddressBook(folder, {{"10.0.0.9:7560"}});
    } catch (const coordination_error &error) {
        code = error.code();
    }
    setrlimit(RLIMIT_FSIZE, &before);
    BOOST_CHECK(code == result_code::StoreFull);
    BOOST_TEST((readAddressBook(folder) == book));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
