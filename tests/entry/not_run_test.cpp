#include "entry/entry_schedule.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace guavafront
{

namespace
{

/// Seeds of the schedules to run: 1 to scheduleCount, or only the one given by GUAVAFRONT_SEED.
struct not_run_fixture {
    static constexpr std::uint64_t scheduleCount = 4'000;
    std::set<stopping_point> seen;
    std::uint64_t first = 1;
    std::uint64_t last = scheduleCount;

    not_run_fixture()
    {
        if (const char *seed = std::getenv("GUAVAFRONT_SEED")) {
            first = std::strtoull(seed, nullptr, 10);
            last = first;
        }
    }

    /// Stopping points that a run over all seeds must cover.
    static std::vector<stopping_point> allPoints()
    {
        using enum exchange_stage;
        using enum result_code;
        return {{Limit, NoRoute},
                {Limit, KeyMissing},
                {Limit, KeyUnknown},
                {Limit, ConfigurationStale},
                {Limit, EntryOverloaded},
                {Limit, EntryStopping},
                {Limit, OverRate},
                {Limit, DeadlinePassed},
                {Limit, NoUpstream},
                {Limit, NoCapacity},
                {Limit, RequestQuarantined},
                {Limit, Ok},
                {Claim, ClaimUndecided},
                {Claim, IdempotencyKeyReused},
                {Claim, DuplicateInProgress},
                {Claim, OutcomeUnknown},
                {Claim, Ok},
                {Admit, DeadlinePassed},
                {Admit, NoCapacity},
                {Admit, NoUpstream},
                {Admit, RequestQuarantined},
                {Admit, Ok},
                {Running, OutcomeUnknown},
                {Running, AnswerIncomplete},
                {Running, UpstreamRefused},
                {Running, ConnectFailed},
                {Running, Ok}};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(not_run_test, not_run_fixture)

BOOST_AUTO_TEST_CASE(request_seededSchedules_endsOnceAndNotRunIsTrue)
{
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        std::string broken;
        try {
            entry_schedule(seed, seen).complete();
        } catch (const std::exception &error) {
            broken = error.what();
        }
        BOOST_TEST_REQUIRE(broken.empty(), "GUAVAFRONT_SEED=" << seed << ": " << broken);
    }
    if (first == last) {
        return;
    }
    for (const stopping_point &point : allPoints()) {
        BOOST_TEST(seen.contains(point), "no request stopped in stage " << static_cast<int>(point.first) << " with "
                                                                        << describe(point.second).name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
