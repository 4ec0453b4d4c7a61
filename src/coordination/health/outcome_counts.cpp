#include <guavafront/coordination/health/outcome_counts.h>

#include <cmath>

namespace guavafront
{

namespace
{

/// Maximum log likelihood of the counts, reached when the probability of a bad outcome is their share of bad ones.
float logLikelihood(float good, float bad)
{
    const auto term = [sum = good + bad](float count) {
        return count > 0 ? count * std::log(count / sum) : 0.0F;
    };
    return term(good) + term(bad);
}

} // namespace

outcome_counts operator-(const outcome_counts &later, const outcome_counts &earlier)
{
    return {.good = later.good - earlier.good, .bad = later.bad - earlier.bad};
}

float gStatistic(const outcome_counts &instance, const outcome_counts &peers)
{
    const auto good = static_cast<float>(instance.good);
    const auto bad = static_cast<float>(instance.bad);
    const auto peersGood = static_cast<float>(peers.good);
    const auto peersBad = static_cast<float>(peers.bad);
    if (bad * peersGood <= peersBad * good) {
        return 0;
    }
    const float separate = logLikelihood(good, bad) + logLikelihood(peersGood, peersBad);
    return 2 * (separate - logLikelihood(good + peersGood, bad + peersBad));
}

} // namespace guavafront
