#pragma once

#include <guavafront/coordination/configuration/validation.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace guavafront
{

/// Start of an outside text for an error message: at most maxNameBytes, all of it printable ASCII.
inline std::string printable(std::string_view text)
{
    std::string shown(text.substr(0, maxNameBytes));
    std::ranges::replace_if(
        shown, [](char c) { return c < ' ' || c > '~'; }, '?');
    return shown;
}

} // namespace guavafront
