#pragma once

#include <cstdint>

namespace guavafront
{

/// Rendezvous hash of a chooser and a choice (Thaler and Ravishankar, 1998), mixed with the finalizer of SplitMix64:
/// the chooser prefers choices with a higher one.
inline std::uint64_t rendezvousHash(std::uint64_t chooser, std::uint64_t choice)
{
    std::uint64_t mixed = chooser ^ (choice * 0x9e3779b97f4a7c15);
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
    return mixed ^ (mixed >> 31);
}

} // namespace guavafront
