#pragma once

#include <guavafront/coordination/configuration/validation.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace guavafront
{

/// Makes text from outside safe for an error message: its first maxNameBytes bytes, with '?' for every byte that isn't
/// printable ASCII.
inline std::string printable(std::string_view text)
{
    std::string shown(text.substr(0, maxNameBytes));
    std::ranges::replace_if(
        shown, [](char c) { return c < ' ' || c > '~'; }, '?');
    return shown;
}

} // namespace guavafront
