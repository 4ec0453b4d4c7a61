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

/// One named value of a log line.
struct log_field {
    std::string_view name; ///< Stable name.
    std::variant<std::string_view, std::int64_t, double> value; ///< Text is escaped.
};

/// Writes one JSON object a line for each decision to standard output. Never blocks: what the reader doesn't take at
/// once is dropped and counted. More than linesPerSecond are dropped and counted as well. One thread only.
class decision_log
{
public:
    /// Log of one task on one VM.
    decision_log(std::string vm, std::uint32_t linesPerSecond);

    /// Writes a line with the time, the VM, the decision and the fields.
    void write(std::string_view decision, instant now, std::initializer_list<log_field> fields);

    /// Lines left out so far.
    std::uint64_t dropped() const;

private:
    bool admitLine(instant now);

    std::string m_vm; ///< Name of this VM.
    std::uint32_t m_linesPerSecond; ///< Lines a second.
    std::uint32_t m_linesInSecond = 0; ///< In the present second.
    instant m_secondStart{}; ///< Of the present second.
    std::uint64_t m_dropped = 0; ///< Lines left out.
    std::uint64_t m_reportedDropped = 0; ///< Lines left out that a line has told of.
    std::string m_line; ///< Reused.
};

} // namespace guavafront
