#pragma once

#include "model/urgency_run.h"

#include <guavafront/coordination/configuration/configuration.h>

#include <cstddef>
#include <memory>
#include <span>

namespace guavafront::bench
{

/// Configuration with an account and a route for each kind, all to one service, whose requests may not be repeated.
std::shared_ptr<const configuration> makeConfiguration(std::span<const request_kind> kinds);

/// Key of the account of a kind, by the kind's index.
key_hash keyOfKind(std::size_t kind);

} // namespace guavafront::bench
