#include "fleet/platform_processes.h"
#include "soak/soak_checks.h"
#include "soak/soak_player.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <random>

namespace guavafront
{

namespace
{

/// Plays one seed after the other: a fixed one, the one that GUAVAFRONT_SEED names, or as many fresh ones as
/// GUAVAFRONT_SOAK_SEEDS says.
struct soak_fixture {
    std::vector<std::uint64_t> seeds() const
    {
        constexpr std::uint64_t fixedSeed = 189;
        if (const char *seed = std::getenv("GUAVAFRONT_SEED")) {
            return {std::strtoull(seed, nullptr, 10)};
        }
        const char *count = std::getenv("GUAVAFRONT_SOAK_SEEDS");
        if (!count) {
            return {fixedSeed};
        }
        std::vector<std::uint64_t> fresh(std::strtoull(count, nullptr, 10));
        for (std::uint64_t &seed : fresh) {
            seed = std::random_device()();
        }
        return fresh;
    }

    /// Plays the plan of a seed and returns what it broke, with what a reader needs to trace it.
    std::string play(std::uint64_t seed) const
    {
        const soak_size size;
        const soak_plan plan = planOf(seed, size);
        platform_processes fleet(size.controls, size.entries);
        const soak_record record = playSoak(fleet, plan, size);
        writeRecord(record, fleet.folder() / "record.txt");
        const findings broken = checkAll(record);
        std::cout << "GUAVAFRONT_SEED=" << seed << ": " << (broken.empty() ? "kept" : "BROKEN") << ", "
                  << plan.faults.size() + 1 << " faults, " << record.sent.size() << " orders sent, "
                  << record.reads.size() << " reads, " << record.requests.size() << " requests, folder "
                  << fleet.folder() << std::endl;
        if (broken.empty()) {
            return {};
        }
        std::string text = describe(plan);
        for (const std::string &each : broken) {
            text += each + '\n';
        }
        return text;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(soak_test, soak_fixture)

BOOST_AUTO_TEST_CASE(fleet_faultsAndChanges_rulesKept)
{
    for (const std::uint64_t seed : seeds()) {
        const std::string broken = play(seed);
        BOOST_TEST(broken.empty(), broken);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
