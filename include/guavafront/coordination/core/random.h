#pragma once

#include <cstdint>
#include <limits>

namespace guavafront
{

/// Seeded pseudorandom generator for decisions: the same seed gives the same sequence on every machine. Not for
/// secrets. The algorithm is SplitMix64: Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014.
struct random_source {
    using result_type = std::uint64_t; ///< Required by std::uniform_random_bit_generator.

    std::uint64_t state = 0; ///< Seed before the first number, then the position in the sequence.

    /// Next number of the sequence.
    std::uint64_t operator()()
    {
        std::uint64_t mixed = state += 0x9e3779b97f4a7c15U;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// Number from 0 to bound - 1; bound must be above 0. The bias towards low numbers is below bound / 2^64.
    std::uint64_t below(std::uint64_t bound)
    {
        return (*this)() % bound;
    }

    /// Smallest number that the generator returns.
    static constexpr std::uint64_t min()
    {
        return 0;
    }

    /// Largest number that the generator returns.
    static constexpr std::uint64_t max()
    {
        return std::numeric_limits<std::uint64_t>::max();
    }
};

} // namespace guavafront
