#include <guavafront/coordination/admission/capacity_share.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// The share of one VM that always has requests waiting.
struct capacity_share_fixture {
    capacity_share share;
    instant now{1'000s};
    std::mt19937_64 random{20261206};

    /// Updates the share each 50 ms for a time.
    void update(const service_capacity &capacity, std::uint32_t running, duration span)
    {
        for (const instant end = now + span; now <= end; now += 50ms) {
            updateShare(share, capacity, running, true, now);
        }
    }

    /// Mean number of requests at instances if each takes work and the VM sends whenever it may.
    double meanRunning(const service_capacity &capacity, duration work)
    {
        constexpr duration tick = 10ms;
        constexpr int ticks = 6'000;
        std::vector<instant> ends;
        double sum = 0;
        for (int index = 0; index < ticks; ++index, now += tick) {
            const auto running = [&ends] {
                return static_cast<std::uint32_t>(ends.size());
            };
            updateShare(share, capacity, running(), true, now);
            std::erase_if(ends, [this](instant end) { return end <= now; });
            while (hasShareLeft(share, running())) {
                useShare(share, std::chrono::duration<double>(work).count(), random);
                ends.push_back(now + work);
            }
            sum += running();
        }
        return sum / ticks;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(capacity_share_test, capacity_share_fixture)

/// Guards against waiting at the VMs while instances have free slots.
BOOST_AUTO_TEST_CASE(share_capacityAmple_nothingWaits)
{
    update({.slots = 100, .requests = 50, .vms = 100, .current = true}, 1, 3s);
    BOOST_TEST(share.unlimited);
    BOOST_TEST(hasShareLeft(share, 50));
}

/// Guards against VMs that together keep more requests at the instances than these are meant to queue.
BOOST_AUTO_TEST_CASE(share_capacityScarce_meanIsTheFairShare)
{
    for (const std::uint32_t vms : {47U, 101U, 293U}) {
        share = {};
        const service_capacity scarce{.slots = 100, .requests = 130, .vms = vms, .current = true};
        const double fair = capacity_parameters().scarceLoad * 100 / vms;
        const double mean = meanRunning(scarce, 300ms);
        BOOST_TEST(mean < 1.1 * fair, "mean " << mean << " of " << vms << " VMs");
        BOOST_TEST(mean > 0.85 * fair, "mean " << mean << " of " << vms << " VMs");
    }
}

/// Guards against a VM that stays at its fair share although the other VMs leave capacity unused.
BOOST_AUTO_TEST_CASE(share_capacityUnused_limitGrowsWithinTwoSeconds)
{
    update({.slots = 100, .requests = 130, .vms = 50, .current = true}, 2, 2s);
    const double fair = share.limit;
    update({.slots = 100, .requests = 60, .vms = 50, .current = true}, 2, 2s);
    BOOST_TEST((share.unlimited || share.limit > 2 * fair));
}

/// Guards against use of sums that are outdated because the hub is dead or out of reach.
BOOST_AUTO_TEST_CASE(share_sumsOutdated_fairShare)
{
    update({.slots = 100, .requests = 10, .vms = 50, .current = true}, 1, 2s);
    BOOST_TEST(share.unlimited);
    update({.slots = 100, .requests = 10, .vms = 50, .current = false}, 1, 100ms);
    BOOST_TEST(!share.unlimited);
    BOOST_TEST(share.limit == capacity_parameters().scarceLoad * 100 / 50, boost::test_tools::tolerance(1e-9));
}

/// Guards against requests that wait for instances which don't exist; their refusal comes from the choice of one.
BOOST_AUTO_TEST_CASE(share_noInstances_nothingWaits)
{
    update({.slots = 0, .requests = 0, .vms = 50, .current = true}, 1, 1s);
    BOOST_TEST(hasShareLeft(share, 100));
}

/// Guards against borrowing without end by requests of high rank.
BOOST_AUTO_TEST_CASE(borrow_nothingPaidBack_bounded)
{
    const service_capacity scarce{.slots = 100, .requests = 130, .vms = 100, .current = true};
    update(scarce, 1, 1s);
    BOOST_TEST(canBorrow(share, 1));
    BOOST_TEST(!canBorrow(share, 3));
    update(scarce, 3, 1s);
    BOOST_TEST(!canBorrow(share, 1));
    BOOST_TEST(!hasShareLeft(share, 0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
