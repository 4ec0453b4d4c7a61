#pragma once

#include <http_parser.h>

#include <string_view>

namespace guavafront
{

/// Reason phrase of a status code; a general one for codes that aren't registered.
inline std::string_view statusText(int status)
{
    const char *text = http_status_str(static_cast<http_status>(status));
    return text[0] == '<' ? "Status" : text; // The library answers "<unknown>".
}

} // namespace guavafront
