#include "wire/evidence_codec.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/evidence/evidence_relay.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// Six hubs and thirty entry VMs in three data centres, whose messages the test delivers at once.
struct evidence_relay_fixture {
    static constexpr std::uint64_t hubCount = 6;
    static constexpr std::uint64_t entryCount = 30;
    const observed_report failure{{20}, {{9}, instance_report_kind::Failed}};

    std::vector<fleet_vm> fleet; ///< All VMs.
    std::map<vm_id, evidence_relay> hubs; ///< State of each hub.
    std::map<vm_id, std::size_t> heard; ///< Reports that reached each entry VM.
    std::size_t messages = 0; ///< Messages to entry VMs.
    std::size_t farMessages = 0; ///< Those of them from another data centre.
    instant now{10s};

    evidence_relay_fixture()
    {
        for (std::uint64_t id = 1; id <= hubCount + entryCount; ++id) {
            fleet.push_back({.id = {id}, .dataCentre = std::to_string(id % 3), .isControl = id <= hubCount});
        }
        for (std::uint64_t id = 1; id <= hubCount; ++id) {
            hubs[{id}].self = fleet[id - 1];
        }
        showFleet();
    }

    void showFleet()
    {
        for (auto &[id, hub] : hubs) {
            std::vector<fleet_vm> others;
            std::ranges::copy_if(fleet, std::back_inserter(others),
                                 [self = id](const fleet_vm &each) { return each.id != self; });
            updateFleet(hub, others);
        }
    }

    void report(vm_id hub, std::uint8_t copy)
    {
        const send_evidence relayed = receiveEvidence(hubs.at(hub), {.copy = copy, .reports = {failure}}, now);
        for (const vm_id to : relayed.to) {
            if (hubs.contains(to)) {
                BOOST_TEST(receiveEvidence(hubs.at(to), relayed.message, now).to.empty());
            }
        }
    }

    void publish()
    {
        now += 100ms;
        for (auto &[id, hub] : hubs) {
            for (const send_evidence &each : takeDueEvidence(hub, now)) {
                for (const vm_id to : each.to) {
                    heard[to] += each.message.reports.size();
                    ++messages;
                    farMessages += fleet[to.value - 1].dataCentre == hub.self.dataCentre ? 0 : 1;
                }
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evidence_relay_test, evidence_relay_fixture)

BOOST_AUTO_TEST_CASE(report_bothCopies_eachEntryVmGetsEachOnceFromItsDataCentre)
{
    report({1}, 0);
    report({4}, 1);
    publish();
    BOOST_TEST(heard.size() == entryCount);
    BOOST_TEST(std::ranges::all_of(heard, [](const auto &each) { return each.second == evidenceCopies; }));
    BOOST_TEST(farMessages == 0U);
}

BOOST_AUTO_TEST_CASE(report_oneHubLost_eachEntryVmStillHearsOfIt)
{
    for (std::uint64_t lost = 1; lost <= hubCount; ++lost) {
        const evidence_relay kept = hubs.at({lost});
        hubs.erase({lost});
        heard.clear();
        report({lost == 1 ? 2U : 1U}, 0);
        report({lost == 4 ? 5U : 4U}, 1);
        publish();
        BOOST_TEST(heard.size() == entryCount);
        hubs[{lost}] = kept;
    }
}

BOOST_AUTO_TEST_CASE(manyReports_atOnce_publishedTogether)
{
    constexpr std::size_t reports = 50;
    for (std::size_t count = 0; count < reports; ++count) {
        report({1 + count % hubCount}, 0);
    }
    publish();
    BOOST_TEST(messages == entryCount);
    BOOST_TEST(std::ranges::all_of(heard, [](const auto &each) { return each.second == reports; }));
}

BOOST_AUTO_TEST_CASE(report_singleHub_publishesBothCopies)
{
    std::erase_if(fleet, [](const fleet_vm &each) { return each.isControl && each.id != vm_id{1}; });
    hubs = {{vm_id{1}, {.self = fleet.front()}}};
    updateFleet(hubs.at({1}), std::span(fleet).subspan(1));
    const evidence_relay &hub = hubs.at({1});
    BOOST_TEST(hub.receivers[0].size() == entryCount);
    BOOST_TEST((hub.receivers[0] == hub.receivers[1]));
}

BOOST_AUTO_TEST_CASE(message_olderVersionOrCut_refused)
{
    const auto encoded = encodeEvidence({.copy = 1, .reports = {failure}});
    BOOST_CHECK_THROW(decodeEvidence(encoded, 1), coordination_error);
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_CHECK_THROW(decodeEvidence(std::span(encoded).first(length), evidenceVersion), coordination_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
