#pragma once

#include <http_parser.h>

#include <string_view>

namespace guavafront
{

/// Reason phrase of a status code; "Status" for codes that http-parser doesn't know.
inline std::string_view statusText(int status)
{
    const char *text = http_status_str(static_cast<http_status>(status));
    return text[0] == '<' ? "Status" : text; // http-parser returns "<unknown>" for these codes.
}

} // namespace guavafront
