#pragma once

#include <cstdint>
#include <limits>

namespace guavafront
{

/// Seeded random numbers for decisions: the same seed gives the same sequence on every machine. SplitMix64, Steele,
/// Lea, Flood 2014, "Fast splittable pseudorandom number generators". Not for secrets.
struct random_source {
    using result_type = std::uint64_t; ///< As std::uniform_random_bit_generator asks.

    std::uint64_t state = 0; ///< The seed, then the position in the sequence.

    /// Next number.
    std::uint64_t operator()()
    {
        std::uint64_t mixed = state += 0x9e3779b97f4a7c15U;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// Number from 0 to bound - 1; bound is above 0. The bias is below bound / 2^64.
    std::uint64_t below(std::uint64_t bound)
    {
        return (*this)() % bound;
    }

    /// Smallest number.
    static constexpr std::uint64_t min()
    {
        return 0;
    }

    /// Largest number.
    static constexpr std::uint64_t max()
    {
        return std::numeric_limits<std::uint64_t>::max();
    }
};

} // namespace guavafront
