#pragma once

#include "wire/handshake.h"

#include <guavafront/coordination/configuration/configuration_follower.h>

#include <span>

namespace guavafront
{

/// Digest of the history that ends with the revision: BLAKE2b under the fleet secret, over the digest before, the
/// revision and the encoded changes. A VM without the secret can't make one, and two histories that differ anywhere
/// have different digests from there on.
history_digest nextDigest(const fleet_secret &secret, const history_digest &previous, revision at,
                          std::span<const change> changes);

/// Digest of a whole snapshot, likewise keyed.
history_digest snapshotSeal(const fleet_secret &secret, const held_revision &held, std::span<const std::byte> encoded);

} // namespace guavafront
