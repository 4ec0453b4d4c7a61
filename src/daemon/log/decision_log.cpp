#include "daemon/log/decision_log.h"

#include <charconv>
#include <chrono>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

#include <utility>

namespace guavafront
{

namespace
{

void appendNumber(std::string &line, std::int64_t number)
{
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    line.append(digits.data(), end);
}

void appendNumber(std::string &line, double number)
{
    std::array<char, 32> digits{};
    const int length = std::snprintf(digits.data(), digits.size(), "%.3f", number);
    line.append(digits.data(), static_cast<std::size_t>(length));
}

void appendText(std::string &line, std::string_view text)
{
    line += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
    }
    line += '"';
}

std::int64_t unixMilliseconds()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Whether standard output takes a line without blocking.
bool isOutputWritable()
{
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

} // namespace

decision_log::decision_log(std::string vm, std::uint32_t linesPerSecond)
    : m_vm(std::move(vm))
    , m_linesPerSecond(linesPerSecond)
{
}

std::uint64_t decision_log::dropped() const
{
    return m_dropped;
}

bool decision_log::admitLine(instant now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesInSecond = 0;
    }
    if (m_linesInSecond >= m_linesPerSecond) {
        ++m_dropped;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

void decision_log::write(std::string_view decision, instant now, std::initializer_list<log_field> fields,
                         line_rate rate)
{
    if (rate == line_rate::Limited && !admitLine(now)) {
        return;
    }
    m_line.assign("{\"t\":");
    appendNumber(m_line, unixMilliseconds());
    m_line.append(",\"vm\":");
    appendText(m_line, m_vm);
    m_line.append(",\"decision\":");
    appendText(m_line, decision);
    for (const log_field &field : fields) {
        m_line.append(",\"").append(field.name).append("\":");
        if (const auto *text = std::get_if<std::string_view>(&field.value)) {
            appendText(m_line, *text);
        } else {
            std::visit(
                [this](const auto &number) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(number)>, std::string_view>) {
                        appendNumber(m_line, number);
                    }
                },
                field.value);
        }
    }
    if (m_dropped > m_reportedDropped) {
        m_line.append(",\"left_out\":");
        appendNumber(m_line, static_cast<std::int64_t>(m_dropped - m_reportedDropped));
        m_reportedDropped = m_dropped;
    }
    m_line.append("}\n");
    if (!isOutputWritable() || ::write(STDOUT_FILENO, m_line.data(), m_line.size()) < 0) {
        ++m_dropped;
    }
}

} // namespace guavafront
