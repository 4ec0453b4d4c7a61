#include "replication/racing_operators.h"
#include "replication/simulated_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a run showed after the end of its split.
struct heal_record {
    duration oldestConfirmation{}; ///< Largest age of the latest confirmation of a leader.
    std::uint64_t terms = 0; ///< Terms that began.
    std::optional<duration> caughtUp; ///< Time until all VMs held all accepted records.
    std::size_t accepted = 0; ///< Accepted changes.
};

/// Control VMs that send slowly and are split into two halves for some time, while operators make large changes.
/// Nothing is lost but the messages between the halves. GUAVAFRONT_SEED replays a single seed; GUAVAFRONT_SCHEDULES
/// sets the number of schedules.
struct slow_senders_fixture {
    static constexpr seconds ackLimit{4}; ///< Time in which an operator's change must be accepted.
    static constexpr seconds recovery{15}; ///< Time in which all VMs must hold what was accepted.
    static constexpr milliseconds settling{1'500}; ///< Time after the heal from which on a leader must be confirmed.
    static constexpr std::uint64_t allowedTerms = 2; ///< Terms that may begin after the heal.
    static constexpr std::size_t maxMessageBytes = std::size_t{32} << 10; ///< Less than the records of a split take.
    /// Bytes a second that a VM can send to each other one. A heartbeat to each takes 0.9 KB/s, and the records of one
    /// message, sent again in each heartbeat, take 218 KB/s.
    static constexpr std::uint64_t rateForEach = 50'000;

    static std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
    {
        const char *text = std::getenv(variable);
        return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
    }

    /// Blocks, in both directions, all links between two random halves.
    static void split(simulated_cluster &cluster)
    {
        std::vector<vm_id> vms = cluster.currentVms();
        for (std::size_t left = vms.size(); left > 1; --left) {
            std::swap(vms[left - 1], vms[cluster.random(left)]);
        }
        const auto middle = vms.begin() + static_cast<std::ptrdiff_t>(vms.size() / 2);
        for (auto one = vms.begin(); one != middle; ++one) {
            for (auto other = middle; other != vms.end(); ++other) {
                cluster.blockedLinks.insert({*one, *other});
                cluster.blockedLinks.insert({*other, *one});
            }
        }
    }

    static term highestTerm(simulated_cluster &cluster)
    {
        term highest;
        for (const vm_id vm : cluster.currentVms()) {
            highest = std::max(highest, cluster.at(vm).state.currentTerm);
        }
        return highest;
    }

    static instant latestConfirmation(simulated_cluster &cluster)
    {
        instant latest;
        for (const vm_id vm : cluster.currentVms()) {
            latest = std::max(latest, leadershipConfirmedAt(cluster.at(vm).state).value_or(instant{}));
        }
        return latest;
    }

    /// Whether all VMs have applied all accepted changes, and all records of the leader. Throws if one was lost.
    static bool holdAll(simulated_cluster &cluster, const racing_operators &operators)
    {
        const vm_id leading = cluster.leader();
        if (leading.value == 0 || operators.accepted().empty()) {
            return false;
        }
        const revision last = operators.accepted().rbegin()->first;
        const log_index committed = cluster.at(leading).state.commitIndex;
        const auto isBehind = [&](vm_id vm) {
            const simulated_vm &node = cluster.at(vm);
            return node.stateMachine.current.atRevision < last || node.state.appliedIndex < committed;
        };
        if (std::ranges::any_of(cluster.currentVms(), isBehind)) {
            return false;
        }
        for (const vm_id vm : cluster.currentVms()) {
            racing_operators::checkNothingLost(operators.accepted(), cluster.at(vm).stateMachine);
        }
        return true;
    }

    static heal_record play(std::uint64_t seed, std::size_t vms, const replica_options &options)
    {
        simulated_cluster cluster(seed, vms, options);
        cluster.sendRate = rateForEach * (vms - 1);
        cluster.runUntilTrue([&cluster] { return latestConfirmation(cluster) != instant{}; }, seconds(20), "formation");
        racing_operators operators(cluster, 4, 1);
        cluster.runUntil(cluster.now() + milliseconds(static_cast<std::int64_t>(500 + cluster.random(1'000))));
        split(cluster);
        cluster.runUntil(cluster.now() + seconds(5));
        cluster.blockedLinks.clear();
        operators.stop();

        heal_record record;
        const instant heal = cluster.now();
        const term before = highestTerm(cluster);
        instant confirmed = latestConfirmation(cluster);
        while (cluster.now() < heal + recovery) {
            cluster.runUntil(cluster.now() + milliseconds(20));
            confirmed = std::max(confirmed, latestConfirmation(cluster));
            if (cluster.now() >= heal + settling) {
                record.oldestConfirmation = std::max(record.oldestConfirmation, duration(cluster.now() - confirmed));
            }
            if (!holdAll(cluster, operators)) {
                record.caughtUp.reset();
            } else if (!record.caughtUp) {
                record.caughtUp = cluster.now() - heal;
            }
        }
        record.terms = highestTerm(cluster).value - before.value;
        record.accepted = operators.accepted().size();
        return record;
    }

    static void checkSeed(std::uint64_t seed, std::size_t vms, const replica_options &options)
    {
        const heal_record record = play(seed, vms, options);
        const auto milli = [](duration time) {
            return std::chrono::duration_cast<milliseconds>(time).count();
        };
        BOOST_TEST_MESSAGE(vms << " VMs, seed " << seed << ": " << record.accepted << " changes, " << record.terms
                               << " terms, oldest confirmation " << milli(record.oldestConfirmation)
                               << " ms, caught up after " << milli(record.caughtUp.value_or(-milliseconds(1)))
                               << " ms");
        BOOST_TEST_CONTEXT(vms << " VMs, GUAVAFRONT_SEED=" << seed)
        {
            BOOST_TEST(record.accepted > 0U);
            BOOST_TEST(milli(record.oldestConfirmation) <= milli(ackLimit));
            BOOST_TEST(record.terms <= allowedTerms);
            BOOST_TEST(record.caughtUp.has_value());
        }
    }

    static void checkAll(const replica_options &options)
    {
        const std::uint64_t only = numberFrom("GUAVAFRONT_SEED", 0);
        const std::uint64_t last = only != 0 ? only : numberFrom("GUAVAFRONT_SCHEDULES", 20);
        for (const std::size_t vms : {5U, 11U, 15U}) {
            for (std::uint64_t seed = only != 0 ? only : 1; seed <= last; ++seed) {
                replica_options ofVms = options;
                ofVms.targetVoters = vms;
                checkSeed(seed, vms, ofVms);
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slow_senders_test, slow_senders_fixture)

// Guards against leaders that send VMs beyond a split the same records in each heartbeat: the VMs on their own side,
// and all VMs after the heal, then hear them too late.
BOOST_AUTO_TEST_CASE(leader_recordsLackedAfterASplit_confirmedAndAllCatchUp)
{
    checkAll({.maxMessageBytes = maxMessageBytes});
}

// Guards against the same with chunks of a snapshot.
BOOST_AUTO_TEST_CASE(leader_snapshotLackedAfterASplit_confirmedAndAllCatchUp)
{
    checkAll({.maxMessageBytes = maxMessageBytes, .snapshotAfterRecords = 24, .keptRecords = 8});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
