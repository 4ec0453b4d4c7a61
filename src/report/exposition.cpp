#include "report/exposition.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace guavafront
{

namespace
{

constexpr std::array<std::string_view, 3> neededMetrics{
    "guavafront_requests_total{", "guavafront_account_requests_total{", "guavafront_request_seconds_bucket{"};

/// Parses one line of a metrics page from left to right.
class line_reader
{
public:
    explicit line_reader(std::string_view line)
        : m_line(line)
        , m_rest(line)
    {
    }

    metric_value read()
    {
        metric_value value;
        value.name = take(m_rest.find_first_of("{ "));
        if (accept('{')) {
            readLabels(value);
        }
        expect(' ');
        value.value = number();
        return value;
    }

private:
    [[noreturn]] void throwMalformed() const
    {
        throw coordination_error(result_code::MessageMalformed, "line of metrics: " + std::string(m_line));
    }

    std::string_view take(std::size_t size)
    {
        if (size == std::string_view::npos || size == 0) {
            throwMalformed();
        }
        const std::string_view taken = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return taken;
    }

    bool accept(char expected)
    {
        if (!m_rest.starts_with(expected)) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    void expect(char expected)
    {
        if (!accept(expected)) {
            throwMalformed();
        }
    }

    void readLabels(metric_value &value)
    {
        while (!accept('}')) {
            const std::string name(take(m_rest.find('=')));
            expect('=');
            value.labels[name] = quoted();
            accept(',');
        }
    }

    std::string quoted()
    {
        std::string text;
        expect('"');
        while (!accept('"')) {
            const char next = take(m_rest.empty() ? 0 : 1).front();
            if (next != '\\') {
                text += next;
                continue;
            }
            const char escaped = take(m_rest.empty() ? 0 : 1).front();
            text += escaped == 'n' ? '\n' : escaped;
        }
        return text;
    }

    double number() const
    {
        double value = 0;
        const char *end = m_rest.data() + m_rest.size();
        const auto [stopped, error] = std::from_chars(m_rest.data(), end, value);
        if (error != std::errc() || stopped != end || !std::isfinite(value)) {
            throwMalformed();
        }
        return value;
    }

    std::string_view m_line; ///< The whole line, for the error message.
    std::string_view m_rest; ///< Part of the line that has not been parsed yet.
};

/// Calls each(line) for every line of the page that is not empty.
template<class action>
void forEachLine(std::string_view page, const action &each)
{
    while (!page.empty()) {
        const std::size_t end = std::min(page.find('\n'), page.size());
        if (end > 0) {
            each(page.substr(0, end));
        }
        page.remove_prefix(std::min(end + 1, page.size()));
    }
}

} // namespace

std::string_view metric_value::label(std::string_view labelName) const
{
    const auto found = labels.find(labelName);
    return found == labels.end() ? std::string_view() : std::string_view(found->second);
}

std::string burnMetricLines(std::string_view page)
{
    std::string kept;
    forEachLine(page, [&kept](std::string_view line) {
        if (std::ranges::any_of(neededMetrics, [line](std::string_view name) { return line.starts_with(name); })) {
            kept += line;
            kept += '\n';
        }
    });
    return kept;
}

std::vector<metric_value> parseExposition(std::string_view page)
{
    std::vector<metric_value> values;
    forEachLine(page, [&values](std::string_view line) {
        if (!line.starts_with('#')) {
            values.push_back(line_reader(line).read());
        }
    });
    return values;
}

} // namespace guavafront
