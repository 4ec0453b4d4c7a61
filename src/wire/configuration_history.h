#pragma once

#include "wire/handshake.h"

#include <guavafront/coordination/configuration/configuration_follower.h>

#include <span>

namespace guavafront
{

/// Digest of the history that ends with the given revision: BLAKE2b with the fleet secret as key, over the previous
/// digest, the revision and its encoded changes. A VM without the secret can't compute it, and two histories that
/// differ in one revision have different digests for this and all later revisions.
history_digest nextDigest(const fleet_secret &secret, const history_digest &previous, revision at,
                          std::span<const change> changes);

/// Message authentication code of a whole encoded snapshot: BLAKE2b with the fleet secret as key, over the revision,
/// the digest of its history and the encoded bytes.
history_digest snapshotSeal(const fleet_secret &secret, const held_revision &held, std::span<const std::byte> encoded);

} // namespace guavafront
