#include "wire/evidence_codec.h"
#include "wire/ledger_codec.h"
#include "wire/load_codec.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/loads/load_reporter.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <vector>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Totals to which VMs report their requests at instance 1, and a clock.
struct load_totals_fixture {
    load_totals totals;
    instant now{100s};

    void record(std::uint64_t reporter, std::uint32_t requests)
    {
        const std::array loads{instance_load{{1}, requests, {}}};
        recordLoads(totals, {reporter}, loads, now);
    }

    /// Sum of instance 1 if it has changed; otherwise nothing.
    std::optional<std::uint32_t> takeChanged()
    {
        const auto changed = takeChangedLoads(totals, now);
        return changed.empty() ? std::nullopt : std::optional(changed.front().requests);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(load_totals_test, load_totals_fixture)

BOOST_AUTO_TEST_CASE(loads_twoVmsSent_summedAtOnceAndReplaced)
{
    record(1, 3);
    record(2, 2);
    BOOST_TEST((takeChanged() == 5U));
    record(1, 1);
    BOOST_TEST((takeChanged() == 3U));
    record(1, 0);
    record(2, 0);
    BOOST_TEST((takeChanged() == 0U));
    BOOST_TEST(totals.loadsByInstance.empty());
}

BOOST_AUTO_TEST_CASE(loads_unchanged_notReportedAgain)
{
    record(1, 3);
    BOOST_TEST(takeChanged().has_value());
    record(1, 3);
    BOOST_TEST(!takeChanged().has_value());
}

BOOST_AUTO_TEST_CASE(loads_vmSilent_droppedAndReported)
{
    record(1, 3);
    record(2, 1);
    takeChanged();
    now += 2s;
    record(2, 1);
    now += 2s;
    BOOST_TEST((takeChanged() == 1U));
}

BOOST_AUTO_TEST_CASE(loadReporter_sentAndEnded_changesAndRepeatsOnly)
{
    load_reporter own;
    std::vector<candidate> members{{.instance = {1}, .outstanding = 2}, {.instance = {2}}};
    const auto report = [&] {
        std::vector<instance_load> loads;
        collectDueLoads(own, members, now, loads);
        return loads;
    };
    BOOST_TEST((report() == std::vector<instance_load>{{{1}, 2, {}}}));
    BOOST_TEST(report().empty());
    now += 1s;
    BOOST_TEST((report() == std::vector<instance_load>{{{1}, 2, {}}}));
    members.front().outstanding = 0;
    BOOST_TEST((report() == std::vector<instance_load>{{{1}, 0, {}}}));
    BOOST_TEST(own.lastReported.empty());
    BOOST_TEST((nextLoadReport(own) == instant::max()));
}

BOOST_AUTO_TEST_CASE(messages_roundTripAndCut_sameOrRefused)
{
    const load_message loads{.stage = load_stage::Gathered, .loads = {{{7}, 5, 20ms}, {{8}, 0, 0ms}}};
    const auto encoded = encodeLoads(loads);
    BOOST_TEST((decodeLoads(encoded) == loads));
    const instance_report trial{{9}, instance_report_kind::TrialStarted};
    const evidence_message message{.copy = 1, .reports = {{{7}, trial}, {{8}, trial}}};
    BOOST_TEST((decodeEvidence(encodeEvidence(message), evidenceVersion) == message));
    const ledger_message report = ledger_report{.configuration = 3, .entries = {{{2}, {98, 98}, 1.5, true, 4.25, 3}}};
    const auto encodedReport = encodeLedgerMessage(report);
    BOOST_TEST((decodeLedgerMessage(encodedReport) == report));
    const ledger_message statement = ledger_statement{.balances = {{{2}, -3.5, 0.25, 0.125, 2}}};
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
