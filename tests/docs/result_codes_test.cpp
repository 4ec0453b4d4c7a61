#include <guavafront/coordination/core/result_code.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

namespace guavafront
{

namespace
{

/// Loads docs/RESULT_CODES.md, whose table must list every result code of the code base.
struct result_codes_fixture {
    std::string page;

    result_codes_fixture()
    {
        std::ifstream file(std::string(GUAVAFRONT_SOURCE_DIR) + "/docs/RESULT_CODES.md");
        page.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }

    /// Row that the table of the page must have for a result code, as Markdown.
    static std::string rowOf(const result_code_row &row)
    {
        return "| " + std::to_string(static_cast<unsigned>(row.code)) + " | `" + std::string(row.name) + "` | "
               + std::to_string(row.httpStatus) + " | " + std::string(row.meaning) + " |\n";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(result_codes_test, result_codes_fixture)

BOOST_AUTO_TEST_CASE(page_eachCode_hasItsRow)
{
    for (const result_code_row &row : resultCodeTable()) {
        BOOST_CHECK_MESSAGE(page.find(rowOf(row)) != std::string::npos, "docs/RESULT_CODES.md lacks: " << rowOf(row));
    }
}

BOOST_AUTO_TEST_CASE(page_rowCount_sameAsCode)
{
    std::size_t rows = 0;
    for (std::size_t at = page.find("\n| "); at != std::string::npos; at = page.find("\n| ", at + 1)) {
        ++rows;
    }
    constexpr std::size_t headerRows = 1;
    BOOST_TEST(rows == resultCodeTable().size() + headerRows);
}

BOOST_AUTO_TEST_CASE(table_codes_ascending)
{
    BOOST_TEST(std::ranges::is_sorted(resultCodeTable(), {}, &result_code_row::code));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
