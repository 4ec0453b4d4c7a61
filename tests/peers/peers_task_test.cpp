#include "daemon/peers/peers_counters.h"
#include "daemon/peers/peers_task.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

namespace guavafront
{

namespace
{

/// Peers tasks of several VMs on one event loop, with short membership times.
struct peers_task_fixture {
    struct vm {
        peers_task_options options;
        mailbox<peers_message> inbox{100};
        mailbox<peers_message> urgentInbox{100};
        std::shared_ptr<const fleet_view> view = std::make_shared<fleet_view>();
        std::vector<std::pair<vm_id, envelope>> received;
        std::map<spread_key, spread_entry> entries;
        std::optional<beacon_state> freshness;
        peers_statistics statistics;
        int starts = 0;
        std::unique_ptr<peers_task> task;
    };

    loop owner;
    std::vector<std::unique_ptr<vm>> vms;
    std::string seedAddress;
    timer pollTimer{owner, [this] {
                        checkDone();
                    }};
    timer timeout{owner, [] {
                      throw std::runtime_error("the awaited condition did not become true in time");
                  }};
    std::function<bool()> done;

    vm &start(std::uint64_t id, std::string_view secret = "the secret of the test's fleet")
    {
        vms.push_back(std::make_unique<vm>());
        vm &target = *vms.back();
        target.options.links.link.self = {.id = {id}, .dataCentre = "a", .roles = id == 1 ? ControlRole : EntryRole};
        target.options.links.link.secret = deriveFleetSecret(secret);
        target.options.seeds = {seedAddress};
        shortenTimes(target.options.membershipTimes);
        subscribe(target);
        run(target);
        return target;
    }

    static void shortenTimes(membership_options &times)
    {
        times.probePeriod = std::chrono::milliseconds(200);
        times.probeTimeout = std::chrono::milliseconds(100);
        times.suspicionShortest = std::chrono::milliseconds(400);
        times.suspicionLongest = std::chrono::milliseconds(800);
        times.reconnectPeriod = std::chrono::milliseconds(500);
    }

    static void subscribe(vm &target)
    {
        target.options.subscribers[static_cast<std::size_t>(channel::Claims)] = [&target](const peer_identity &from,
                                                                                          envelope message) {
            target.received.emplace_back(from.id, std::move(message));
        };
        peers_watchers &watchers = target.options.watchers;
        watchers.views = {[&target](std::shared_ptr<const fleet_view> view) {
            target.view = std::move(view);
        }};
        watchers.entries.emplace(spread_topic::Instances,
                                 [&target](const spread_entry &entry) { target.entries[entry.key] = entry; });
        watchers.freshness = {[&target](const beacon_state &state) {
            target.freshness = state;
        }};
        watchers.started = {[&target] {
            ++target.starts;
        }};
        watchers.statistics = {[&target](const peers_statistics &latest) {
            target.statistics = latest;
        }};
    }

    void run(vm &target)
    {
        target.task = std::make_unique<peers_task>(
            owner, target.options, peers_inboxes{.requests = target.inbox, .urgent = target.urgentInbox});
        if (seedAddress.empty()) {
            seedAddress = target.task->self().address;
        }
    }

    void startFleet(std::uint64_t count)
    {
        for (std::uint64_t id = 1; id <= count; ++id) {
            start(id);
        }
        runUntil([this, count] { return allSee(count); });
    }

    bool allSee(std::size_t count) const
    {
        return std::ranges::all_of(
            vms, [count](const auto &each) { return !each->task || each->view->live.size() == count; });
    }

    void checkDone()
    {
        if (done()) {
            owner.stop();
        } else {
            pollTimer.arm(std::chrono::milliseconds(5));
        }
    }

    void runUntil(std::function<bool()> condition)
    {
        done = std::move(condition);
        timeout.arm(std::chrono::seconds(60));
        pollTimer.arm({});
        owner.run();
        timeout.cancel();
    }

    static envelope claimMessage(unsigned number)
    {
        return {.kind = channel::Claims, .body = {static_cast<std::byte>(number)}};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peers_task_test, peers_task_fixture)

BOOST_AUTO_TEST_CASE(fleet_startsOverSockets_allSeeAll)
{
    startFleet(6);
    for (const auto &each : vms) {
        BOOST_TEST(each->view->fingerprint == vms.front()->view->fingerprint);
        BOOST_TEST(each->starts == 1);
    }
}

BOOST_AUTO_TEST_CASE(sendToVm_toOneToItselfAndToRoles_delivered)
{
    startFleet(4);
    vms[3]->inbox.post(send_to_vm{{2}, claimMessage(1)});
    vms[3]->inbox.post(send_to_vm{{4}, claimMessage(2)});
    vms[3]->inbox.post(send_to_roles{ControlRole, claimMessage(3)});
    runUntil([this] { return vms[1]->received.size() + vms[3]->received.size() + vms[0]->received.size() == 3; });
    BOOST_TEST((vms[1]->received.at(0) == std::pair(vm_id{4}, claimMessage(1))));
    BOOST_TEST((vms[3]->received.at(0) == std::pair(vm_id{4}, claimMessage(2))));
    BOOST_TEST((vms[0]->received.at(0) == std::pair(vm_id{4}, claimMessage(3))));
}

BOOST_AUTO_TEST_CASE(entry_publishedThenWithdrawn_subscribersFollow)
{
    startFleet(4);
    const spread_key key{.topic = spread_topic::Instances, .owner = {2}, .name = "rutas-1"};
    const auto allHave = [this, key](bool removed) {
        return std::ranges::all_of(vms, [&](const auto &each) {
            return each == vms[1] || (each->entries.contains(key) && each->entries.at(key).removed == removed);
        });
    };
    vms[1]->inbox.post(spread_publish{key.topic, key.name, {std::byte{1}}});
    runUntil([&allHave] { return allHave(false); });
    vms[1]->inbox.post(spread_withdraw{key.topic, key.name});
    runUntil([&allHave] { return allHave(true); });
}

BOOST_AUTO_TEST_CASE(resendState_subscriberRestarted_hasAllAgain)
{
    startFleet(3);
    vms[1]->inbox.post(spread_publish{spread_topic::Instances, "rutas-1", {std::byte{1}}});
    runUntil([this] { return vms[0]->entries.size() == 1; });
    vms[0]->entries.clear();
    vms[0]->view = std::make_shared<fleet_view>();
    vms[0]->inbox.post(resend_state{});
    runUntil([this] { return vms[0]->entries.size() == 1 && vms[0]->view->live.size() == 3; });
}

BOOST_AUTO_TEST_CASE(beacon_issuedByLeader_reachesAll)
{
    startFleet(5);
    vms[0]->inbox.post(issue_beacon{{3}, 1, {42}, loop::now()});
    runUntil([this] { return std::ranges::all_of(vms, [](const auto &each) { return each->freshness.has_value(); }); });
    for (const auto &each : vms) {
        BOOST_TEST((each->freshness->newest->accepted == revision{42}));
    }
}

BOOST_AUTO_TEST_CASE(vm_otherSecret_staysOut)
{
    startFleet(3);
    vm &outsider = start(9, "the secret of another fleet");
    runUntil([&outsider] {
        return outsider.statistics.links.ended[static_cast<std::size_t>(link_end::Unauthenticated)] > 0;
    });
    BOOST_TEST(outsider.view->live.size() <= 1U);
    BOOST_TEST(vms[0]->view->live.size() == 3U);
}

BOOST_AUTO_TEST_CASE(task_restarts_joinsAgainAndAsksForPublications)
{
    startFleet(4);
    vms[2]->task.reset();
    runUntil([this] { return allSee(3); });
    run(*vms[2]);
    runUntil([this] { return allSee(4); });
    BOOST_TEST(vms[2]->starts == 2);
}

BOOST_AUTO_TEST_CASE(stopRequested_lastTask_tellsTheOthersAndEnds)
{
    startFleet(4);
    const auto stopped = [this] {
        return vms[0]->view->live.size() == 3;
    };
    owner.requestStop(); // Reaches only the last task, because it has set the loop's stop handler.
    runUntil([] { return false; });
    vms[3]->task.reset();
    runUntil(stopped);
    BOOST_TEST(vms[0]->view->missing.empty());
}

BOOST_AUTO_TEST_CASE(publish_tooLarge_countedAndTaskGoesOn)
{
    startFleet(2);
    vms[0]->inbox.post(spread_publish{spread_topic::Instances, "x", std::vector<std::byte>(100'000)});
    vms[0]->inbox.post(send_to_vm{{2}, claimMessage(1)});
    runUntil([this] { return vms[1]->received.size() == 1 && vms[0]->statistics.unhandledMessages == 1; });
}

BOOST_AUTO_TEST_CASE(peersCounters_taskRestarted_countsGoOn)
{
    prometheus::Registry registry;
    peers_counters counters(registry);
    const auto sent = [&registry] {
        const auto families = registry.Collect();
        const auto found =
            std::ranges::find(families, "guavafront_peer_messages_sent_total", &prometheus::MetricFamily::name);
        return found->metric.at(0).counter.value;
    };
    counters.set({.links = {.messagesSent = 5}});
    counters.set({.links = {.messagesSent = 7}});
    BOOST_TEST(sent() == 7);
    counters.set({.links = {.messagesSent = 2}});
    BOOST_TEST(sent() == 9);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
