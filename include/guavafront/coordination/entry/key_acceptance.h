#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>

namespace guavafront
{

/// What an API key was accepted by, for operators: the keys in force, and the control VMs' last confirmation of them.
struct key_acceptance {
    revision atRevision; ///< Revision whose keys were in force.
    duration confirmationAge{}; ///< Time since the confirmation.
    duration confirmationLimit{}; ///< Age from which keys are refused.
    term leaderTerm; ///< Term of the leader that issued the confirming beacon; 0 if no beacon did.
    std::uint64_t beaconCounter = 0; ///< Number of the beacon in its term.
};

} // namespace guavafront
