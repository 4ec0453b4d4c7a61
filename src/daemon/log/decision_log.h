#pragma once

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace guavafront
{

/// Named value in a log line.
struct log_field {
    std::string_view name; ///< Name of the value; stable, because operators' tools read it.
    std::variant<std::string_view, std::int64_t, double> value; ///< Value; text is escaped when it is written.
};

/// Whether a line counts against the lines of a second.
enum class line_rate : std::uint8_t {
    Limited, ///< It is left out when there are too many.
    Exempt, ///< It is rare, and others can't be understood without it.
};

/// Writes each decision as one line of JSON to standard output. Never blocks: lines that the reader of the output
/// doesn't take at once are dropped and counted, and so are lines beyond linesPerSecond. To be used by one thread only.
class decision_log
{
public:
    /// Creates the log of one task; vm is the name of this VM.
    decision_log(std::string vm, std::uint32_t linesPerSecond);

    /// Writes a line with the time of day, the VM, the decision and the fields; now is for the rate limit.
    void write(std::string_view decision, instant now, std::initializer_list<log_field> fields,
               line_rate rate = line_rate::Limited);

    /// Number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    bool admitLine(instant now);

    std::string m_vm; ///< Name of this VM.
    std::uint32_t m_linesPerSecond; ///< Maximum number of lines in a second.
    std::uint32_t m_linesInSecond = 0; ///< Lines written in the current second.
    instant m_secondStart{}; ///< Start of the current second.
    std::uint64_t m_dropped = 0; ///< Number of lines dropped.
    std::uint64_t m_reportedDropped = 0; ///< Part of m_dropped that earlier lines have reported.
    std::string m_line; ///< Line being written; a member so that its memory is reused.
};

} // namespace guavafront
