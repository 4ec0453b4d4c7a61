#pragma once

#include <cstddef>
#include <vector>

namespace guavafront
{

/// Bytes of an encoded message; the buffer owns them.
using byte_buffer = std::vector<std::byte>;

} // namespace guavafront
