#include "wire/evidence_codec.h"
#include "wire/ledger_codec.h"
#include "wire/load_codec.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/loads/load_board.h>

#include <boost/test/unit_test.hpp>

#include <array>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// A board and a clock.
struct load_board_fixture {
    load_board board;
    instant now{100s};

    void note(std::uint32_t requests, duration age)
    {
        const std::array loads{instance_load{{1}, requests, age}};
        noteLoads(board, loads, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_board_test, load_board_fixture)

BOOST_AUTO_TEST_CASE(loads_olderNews_dropped)
{
    note(3, 10ms);
    note(9, 500ms);
    const auto known = loadsSince(board, {}, now);
    BOOST_REQUIRE(known.size() == 1U);
    BOOST_TEST(known.front().requests == 3U);
    BOOST_TEST((known.front().age == duration(10ms)));
}

BOOST_AUTO_TEST_CASE(loads_toldAlready_notToldAgain)
{
    note(3, 0ms);
    BOOST_TEST(loadsSince(board, now, now).empty());
    now += 4s;
    BOOST_TEST(loadsSince(board, {}, now).empty());
}

BOOST_AUTO_TEST_CASE(messages_roundTripAndCut_sameOrRefused)
{
    const load_message loads{.stage = load_stage::Gathered, .loads = {{{7}, 5, 20ms}, {{8}, 0, 0ms}}};
    const auto encoded = encodeLoads(loads);
    BOOST_TEST((decodeLoads(encoded) == loads));
    const instance_evidence sign{{9}, instance_sign::TrialBegan};
    BOOST_TEST((decodeEvidence(encodeEvidence(sign)) == sign));
    const ledger_message report = ledger_report{.configuration = 3, .entries = {{{2}, {98, 98}, 1.5, true, 4.25}}};
    const auto encodedReport = encodeLedgerMessage(report);
    BOOST_TEST((decodeLedgerMessage(encodedReport) == report));
    const ledger_message statement = ledger_statement{.balances = {{{2}, -3.5, 0.25, 0.125}}};
    BOOST_TEST((decodeLedgerMessage(encodeLedgerMessage(statement)) == statement));
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_CHECK_THROW(decodeLoads(std::span(encoded).first(length)), coordination_error);
    }
    for (std::size_t length = 0; length < encodedReport.size(); ++length) {
        BOOST_CHECK_THROW(decodeLedgerMessage(std::span(encodedReport).first(length)), coordination_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
