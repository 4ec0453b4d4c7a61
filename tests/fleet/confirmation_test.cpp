#include "fleet/fleet_processes.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

namespace guavafront
{

namespace
{

constexpr int successExitStatus = 0;
constexpr int unconfirmedExitStatus = 4;

/// Fleet with one control VM, three entry VMs and a client account with a key. The staleness limit has its maximum of
/// 60 s, so that a VM that has stopped answering is still waited for.
struct confirmation_fixture {
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 3}};

    confirmation_fixture()
    {
        fleet.startAll();
        fleet.createAccount("panalera");
        fleet.runOperatorCommand({"default", "stalenessLimitMs", "60000"});
    }

    ~confirmation_fixture()
    {
        fleet.signal("entry-2", SIGCONT);
    }

    /// Runs an operator command, checks its exit status and returns the JSON that it printed.
    nlohmann::json runAndParse(const std::vector<std::string> &command, int expectedExit)
    {
        const operator_outcome outcome = fleet.tryOperatorCommand(command);
        BOOST_TEST(outcome.exitStatus == expectedExit, outcome.answer);
        return nlohmann::json::parse(outcome.answer);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(confirmation_test, confirmation_fixture)

BOOST_AUTO_TEST_CASE(withdrawal_allVmsLive_inForce)
{
    const nlohmann::json answer = runAndParse({"key", "withdraw", "panalera-1", "--wait"}, successExitStatus);
    BOOST_TEST(answer.at("state") == "in_force");
    BOOST_TEST(answer.at("entry_vms") == 3);
    BOOST_TEST(answer.at("not_confirmed").empty());
}

BOOST_AUTO_TEST_CASE(withdrawal_vmStopped_acceptedAndNamedThenInForce)
{
    BOOST_TEST(runAndParse({"account", "create", "tjarna", "--wait"}, successExitStatus).at("state") == "in_force");
    fleet.signal("entry-2", SIGSTOP);
    const nlohmann::json answer =
        runAndParse({"key", "withdraw", "panalera-1", "--wait", "--wait-seconds", "2"}, unconfirmedExitStatus);
    BOOST_TEST(answer.at("state") == "accepted");
    BOOST_TEST(answer.at("name") == "not_confirmed");
    BOOST_REQUIRE(answer.at("not_confirmed").size() == 1U);
    const nlohmann::json &vm = answer.at("not_confirmed").front();
    BOOST_TEST(vm.at("name") == "entry-2");
    BOOST_TEST(vm.at("data_centre") == "dc-2");
    BOOST_TEST(vm.at("vm").get<std::string>().size() == 16U);

    fleet.signal("entry-2", SIGCONT);
    const std::string revision = answer.at("revision").dump();
    BOOST_TEST(runAndParse({"confirmations", revision, "--wait"}, successExitStatus).at("state") == "in_force");
}

BOOST_AUTO_TEST_CASE(change_withoutWaiting_saysOnlyAccepted)
{
    const nlohmann::json answer = runAndParse({"key", "withdraw", "panalera-1"}, successExitStatus);
    BOOST_TEST(answer.at("state") == "accepted");
}

BOOST_AUTO_TEST_CASE(confirmations_ofRevisionNotAccepted_refused)
{
    const operator_outcome outcome = fleet.tryOperatorCommand({"confirmations", "999"});
    BOOST_TEST(outcome.exitStatus == 1);
    BOOST_TEST(outcome.answer.find("revision_unknown") != std::string::npos, outcome.answer);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
