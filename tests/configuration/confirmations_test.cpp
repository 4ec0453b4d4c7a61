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
    entry_vm_view view{.live = {{{1}, "dc-1"}, {{2}, "dc-2"}, {{3}, "dc-2"}}, .declaredDead = {}, .seesMajority = true};

    confirmations_fixture()
    {
        noteEntryVms(state, view, now);
    }

    /// All live VMs report the given revision.
    void confirmAll(std::uint64_t at)
    {
        for (const entry_vm &vm : view.live) {
            noteReport(state, vm.id, {{at}, "entry-" + std::to_string(vm.id.value)});
        }
    }

    /// Declares VM 2 dead.
    void declareVm2Dead()
    {
        std::erase(view.live, entry_vm{{2}, "dc-2"});
        view.declaredDead.push_back({{2}, "dc-2"});
        noteEntryVms(state, view, now);
    }

    confirmation_status status() const
    {
        return statusOf(state, wanted, grace, now);
    }
};

/// Actual state of a simulated entry VM.
struct actual_vm {
    revision applied; ///< Revision in force on the VM.
    bool stopped = false; ///< The VM is frozen or cut off: it applies and reports nothing.
};

/// Simulated fleet whose VMs apply revisions, lose half of their reports, freeze and are replaced. The membership view
/// lags behind.
struct simulated_fleet {
    explicit simulated_fleet(std::uint64_t seed)
        : random{seed}
    {
        for (std::uint64_t id = 1; id <= 8; ++id) {
            vms[{lastId = id}] = {};
        }
    }

    /// Updates the view of the membership; each stopped VM is declared dead with a probability of one half.
    void updateView()
    {
        entry_vm_view view;
        for (const auto &[id, vm] : vms) {
            (vm.stopped && random.below(2) == 0 ? view.declaredDead : view.live).push_back({id, "dc"});
        }
        noteEntryVms(state, view, now);
    }

    /// Lets 100 ms pass and one random thing happen to a random VM.
    void advance()
    {
        now += std::chrono::milliseconds(100);
        auto chosen = std::next(vms.begin(), static_cast<std::ptrdiff_t>(random.below(vms.size())));
        actual_vm &vm = chosen->second;
        const std::uint64_t action = random.below(64);
        if (action == 0) {
            ++accepted.value;
        } else if (action == 1) {
            vm.stopped = !vm.stopped;
        } else if (action == 2) { // The VM's process is replaced by one that holds no revision yet.
            vms.erase(chosen);
            vms[{++lastId}] = {};
            updateView();
        } else if (action == 3) {
            updateView();
        } else if (!vm.stopped) {
            vm.applied = accepted;
            if (random.below(2) == 0) {
                noteReport(state, chosen->first, {vm.applied, "vm"});
            }
        }
    }

    /// Whether the accepted revision is in force on every VM, except for those declared dead for the grace period or
    /// longer.
    bool isActuallyInForce() const
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
    std::map<vm_id, actual_vm> vms;
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
    declareVm2Dead();
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
    declareVm2Dead();
    now += 2 * grace;
    view.declaredDead.clear();
    view.live.push_back({{2}, "dc-2"});
    noteEntryVms(state, view, now);
    noteReport(state, {1}, {{7}, "entry-1"});
    noteReport(state, {3}, {{7}, "entry-3"});
    BOOST_TEST(status().missing.size() == 1U);
}

BOOST_AUTO_TEST_CASE(vm_replacedAtItsAddress_onlySuccessorCounts)
{
    confirmAll(7);
    view.live.back() = {{9}, "dc-2"};
    noteEntryVms(state, view, now);
    BOOST_CHECK((status().missing == std::vector<unconfirmed_vm>{{{9}, "", "dc-2", false}}));
}

BOOST_AUTO_TEST_CASE(controlVm_seesMinority_neverReportsInForce)
{
    confirmAll(7);
    view.seesMajority = false;
    noteEntryVms(state, view, now);
    BOOST_CHECK(!status().inForce);
    BOOST_CHECK(status().missing.empty());
}

BOOST_AUTO_TEST_CASE(query_vmsBehind_queriedOnceAnInterval)
{
    confirmAll(7);
    BOOST_CHECK(takeVmsToQuery(state, wanted, now).empty());
    noteEntryVms(state, {.live = {{{1}, "dc-1"}, {{4}, "dc-1"}}, .declaredDead = {}, .seesMajority = true}, now);
    BOOST_CHECK((takeVmsToQuery(state, wanted, now) == std::vector<vm_id>{{4}}));
    BOOST_CHECK(takeVmsToQuery(state, wanted, now).empty());
    BOOST_CHECK((takeVmsToQuery(state, wanted, now + state.queryInterval) == std::vector<vm_id>{{4}}));
}

BOOST_AUTO_TEST_CASE(schedules_freezesLossAndReplacements_inForceIsNeverReportedFalsely)
{
    std::size_t inForceReports = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        simulated_fleet fleet(seed);
        fleet.updateView();
        for (int step = 0; step < 400; ++step) {
            fleet.advance();
            if (statusOf(fleet.state, fleet.accepted, grace, fleet.now).inForce) {
                ++inForceReports;
                BOOST_REQUIRE_MESSAGE(fleet.isActuallyInForce(), "seed " << seed << ", step " << step);
            }
        }
    }
    BOOST_TEST(inForceReports > 1'000U); // Guards against schedules in which inForce is hardly ever reported.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
