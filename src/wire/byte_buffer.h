#pragma once

#include <cstddef>
#include <vector>

namespace guavafront
{

/// Owned bytes of an encoded message.
using byte_buffer = std::vector<std::byte>;

} // namespace guavafront
