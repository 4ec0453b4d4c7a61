#include "wire/ledger_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// A report with one entry, and the same as a VM of a build without reserves encodes it.
struct ledger_codec_fixture {
    ledger_report report{
        .configuration = 7,
        .entries = {{{3}, {10, 20}, 1.5, false, 12, 2, 0.25, 41, 0.75}},
    };

    static std::vector<std::byte> encodeWithoutReserve(std::size_t fieldCount)
    {
        nlohmann::json entry = nlohmann::json::array({3, 10.0F, 20.0F, 1.5F, false, 12.0F, 2, 0.25F, 41, 0.75F});
        entry.erase(entry.begin() + static_cast<std::ptrdiff_t>(fieldCount), entry.end());
        return encodeCbor(nlohmann::json::array({0, 7, nlohmann::json::array({entry})}));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_codec_test, ledger_codec_fixture)

BOOST_AUTO_TEST_CASE(report_encodedAndDecoded_equal)
{
    BOOST_TEST((std::get<ledger_report>(decodeLedgerMessage(encodeLedgerMessage(report))) == report));
}

BOOST_AUTO_TEST_CASE(statement_encodedAndDecoded_equal)
{
    const ledger_statement statement{.balances = {{{3}, -4, 0.5, 0.25, 1, 0.75}, {{4}, 2, 0.5, 0.25, 0, 0}}};
    BOOST_TEST((std::get<ledger_statement>(decodeLedgerMessage(encodeLedgerMessage(statement))) == statement));
}

BOOST_AUTO_TEST_CASE(report_ofBuildWithoutReserves_readWithoutThem)
{
    report.entries[0].reserve = 0;
    report.entries[0].totalSpent = 0;
    report.entries[0].reservedTotal = 0;
    BOOST_TEST((std::get<ledger_report>(decodeLedgerMessage(encodeWithoutReserve(7))) == report));
}

BOOST_AUTO_TEST_CASE(report_otherNumberOfFields_refused)
{
    for (const std::size_t fields : {0U, 6U, 8U, 9U}) {
        BOOST_CHECK_THROW(decodeLedgerMessage(encodeWithoutReserve(fields)), coordination_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
