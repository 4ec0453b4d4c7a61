#pragma once

#include <cstddef>
#include <fstream>
#include <iterator>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace guavafront
{

/// Bytes of the golden file tests/<name>, as hexadecimal text in lines of any length.
inline std::vector<std::byte> readGolden(const std::string &name)
{
    std::ifstream file(std::string(GUAVAFRONT_SOURCE_DIR) + "/tests/" + name);
    if (!file) {
        throw std::runtime_error("no golden file " + name);
    }
    std::vector<std::byte> bytes;
    std::string digits;
    for (char c = 0; file >> c;) {
        digits.push_back(c);
        if (digits.size() == 2) {
            bytes.push_back(static_cast<std::byte>(std::stoul(digits, nullptr, 16)));
            digits.clear();
        }
    }
    return bytes;
}

/// Hexadecimal text, 32 bytes a line, as a golden file holds it.
inline std::string toHex(std::span<const std::byte> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t bytesPerLine = 32;
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        text += digits[std::to_integer<std::size_t>(bytes[i] >> 4)];
        text += digits[std::to_integer<std::size_t>(bytes[i] & std::byte{15})];
        if (i % bytesPerLine == bytesPerLine - 1) {
            text += '\n';
        }
    }
    return text;
}

} // namespace guavafront
