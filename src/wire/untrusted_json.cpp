#include "wire/untrusted_json.h"

#include <nlohmann/json.hpp>

namespace guavafront
{

namespace
{

/// Whether arrays and objects are nested at most maxJsonDepth deep. Any text is accepted that the parser refuses.
bool isShallow(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (inString) {
            at += character == '\\' ? 1 : 0;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxJsonDepth) {
                return false;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace

nlohmann::json parseUntrustedJson(std::string_view text)
{
    return isShallow(text) ? nlohmann::json::parse(text, nullptr, false)
                           : nlohmann::json(nlohmann::json::value_t::discarded);
}

} // namespace guavafront
