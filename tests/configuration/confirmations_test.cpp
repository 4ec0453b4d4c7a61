#include <guavafront/coordination/configuration/confirmations.h>
#include <guavafront/coordination/core/random.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

using std::chrono::seconds;

constexpr duration grace = seconds(5);
constexpr revision wanted{7};

/// Three entry VMs in two data centres, all live.
struct confirmations_fixture {
    confirmations state;
    instant now{seconds(100)};
    entry_vm_view seen{.live = {{{1}, "dc-1"}, {{2}, "dc-2"}, {{3}, "dc-2"}}, .declaredDead = {}, .seesMajority = true};

    confirmations_fixture()
    {
        noteEntryVms(state, seen, now);
    }

    /// All live VMs report the given revision.
    void confirmAll(std::uint64_t at)
    {
        for (const entry_vm &vm : seen.live) {
            noteReport(state, vm.id, {{at}, "entry-" + std::to_string(vm.id.value)});
        }
    }

    /// Declares VM 2 dead.
    void loseVm2()
    {
        std::erase(seen.live, entry_vm{{2}, "dc-2"});
        seen.declaredDead.push_back({{2}, "dc-2"});
        noteEntryVms(state, seen, now);
    }

    confirmation_status status() const
    {
        return statusOf(state, wanted, grace, now);
    }
};

/// Actual state of a simulated entry VM.
struct true_vm {
    revision applied; ///< Revision in force on the VM.
    bool stopped = false; ///< The VM is frozen or cut off: it applies and reports nothing.
};

/// Simulated fleet whose VMs apply revisions, lose half of their reports, freeze and are replaced. The membership view
/// lags behind.
struct true_fleet {
    explicit true_fleet(std::uint64_t seed)
        : random{seed}
    {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            vms[{lastId = id}] = {};
        }
    }

    /// Updates the view of the membership; each stopped VM is declared dead with a probability of one half.
    void tell()
    {
        entry_vm_view seen;
        for (const auto &[id, vm] : vms) {
            (vm.stopped && random.below(2) == 0 ? seen.declaredDead : seen.live).push_back({id, "dc"});
        }
        noteEntryVms(state, seen, now);
    }

    /// Lets 100 ms pass and one random thing happen to a random VM.
    void act()
    {
        now += std::chrono::milliseconds(100);
        auto chosen = std::next(vms.begin(), static_cast<std::ptrdiff_t>(random.below(vms.size())));
        true_vm &vm = chosen->second;
        const std::uint64_t action = random.below(64);
        if (action == 0) {
            ++accepted.value;
        } else if (action == 1) {
            vm.stopped = !vm.stopped;
        } else if (action == 2) { // The VM's process is replaced by one that holds no revision yet.
            vms.erase(chosen);
            vms[{++lastId}] = {};
            tell();
        } else if (action == 3) {
            tell();
        } else if (!vm.stopped) {
            vm.applied = accepted;
            if (random.below(2) == 0) {
                noteReport(state, chosen->first, {vm.applied, "vm"});
            }
        }
    }

    /// Whether the accepted revision is in force on every VM, except for those declared dead for the grace period or
    /// longer.
    bool trulyInForce() const
    {
        return std::ranges::all_of(vms, [this](const auto &each) {
            const auto known = state.entries.find(each.first);
            const bool over = known != state.entries.end() && known->second.declaredDeadAt
                              && now >= *known->second.declaredDeadAt + grace;
            return over || each.second.applied >= accepted;
        });
    }

    random_source random;
    confirmations state;
    instant now{seconds(1)};
    revision accepted{1};
    std::map<vm_id, true_vm> vms;
    std::uint64_t lastId = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(confirmations_test, confirmations_fixture)

BOOST_AUTO_TEST_CASE(revision_reportedByAll_inForce)
{
    confirmAll(7);
    BOOST_CHECK(
        (status() == confirmation_status{.inForce = true, .seesMajority = true, .requiredCount = 3, .missing = {}}));
}

BOOST_AUTO_TEST_CASE(revision_oneVmBehind_acceptedAndNamed)
{
    confirmAll(6);
    noteReport(state, {1}, {{7}, "entry-1"});
    noteReport(state, {3}, {{8}, "entry-3"});
    BOOST_CHECK(!status().inForce);
    BOOST_CHECK((status().missing == std::vector<unconfirmed_vm>{{{2}, "entry-2", "dc-2", false}}));
}

BOOST_AUTO_TEST_CASE(report_olderAfterNewer_revisionStays)
{
    confirmAll(7);
    noteReport(state, {2}, {{6}, "entry-2"});
    BOOST_CHECK(status().inForce);
}

BOOST_AUTO_TEST_CASE(vm_declaredDeadUnconfirmed_namedForTheGraceThenNotCounted)
{
    confirmAll(6);
    loseVm2();
    noteReport(state, {1}, {{7}, "entry-1"});
    noteReport(state, {3}, {{7}, "entry-3"});
    now += grace - duration(1);
    BOOST_CHECK((status().missing == std::vector<unconfirmed_vm>{{{2}, "entry-2", "dc-2", true}}));
    now += duration(1);
    BOOST_CHECK(status().inForce);
    BOOST_TEST(status().requiredCount == 2U);
}

BOOST_AUTO_TEST_CASE(vm_backAfterDeath_countsAgain)
{
    loseVm2();
    now += 2 * grace;
    seen.declaredDead.clear();
    seen.live.push_back({{2}, "dc-2"});
    noteEntryVms(state, seen, now);
    noteReport(state, {1}, {{7}, "entry-1"});
    noteReport(state, {3}, {{7}, "entry-3"});
    BOOST_TEST(status().missing.size() == 1U);
}

BOOST_AUTO_TEST_CASE(vm_replacedAtItsAddress_onlySuccessorCounts)
{
    confirmAll(7);
    seen.live.back() = {{9}, "dc-2"};
    noteEntryVms(state, seen, now);
    BOOST_CHECK((status().missing == std::vector<unconfirmed_vm>{{{9}, "", "dc-2", false}}));
}

BOOST_AUTO_TEST_CASE(controlVm_hearsMinority_neverSaysInForce)
{
    confirmAll(7);
    seen.seesMajority = false;
    noteEntryVms(state, seen, now);
    BOOST_CHECK(!status().inForce);
    BOOST_CHECK(status().missing.empty());
}

BOOST_AUTO_TEST_CASE(question_vmsBehind_askedOnceAnInterval)
{
    confirmAll(7);
    BOOST_CHECK(takeVmsToQuery(state, wanted, now).empty());
    noteEntryVms(state, {.live = {{{1}, "dc-1"}, {{4}, "dc-1"}}, .declaredDead = {}, .seesMajority = true}, now);
    BOOST_CHECK((takeVmsToQuery(state, wanted, now) == std::vector<vm_id>{{4}}));
    BOOST_CHECK(takeVmsToQuery(state, wanted, now).empty());
    BOOST_CHECK((takeVmsToQuery(state, wanted, now + state.queryInterval) == std::vector<vm_id>{{4}}));
}

BOOST_AUTO_TEST_CASE(schedules_freezesLossAndReplacements_inForceIsNeverSaidFalsely)
{
    std::size_t said = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        true_fleet fleet(seed);
        fleet.tell();
        for (int step = 0; step < 400; ++step) {
            fleet.act();
            if (statusOf(fleet.state, fleet.accepted, grace, fleet.now).inForce) {
                ++said;
                BOOST_REQUIRE_MESSAGE(fleet.trulyInForce(), "seed " << seed << ", step " << step);
            }
        }
    }
    BOOST_TEST(said > 1'000U); // Guards against schedules in which inForce is hardly ever reported.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
