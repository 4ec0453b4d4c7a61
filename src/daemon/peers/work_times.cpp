#include "daemon/peers/work_times.h"

#include "runtime/loop.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string_view>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// Work that took less time isn't named.
constexpr duration namedTime = milliseconds(5);

} // namespace

void work_times::addReceived(channel kind, instant begin)
{
    add(static_cast<std::size_t>(kind), begin);
}

void work_times::addRequest(instant begin)
{
    add(requests, begin);
}

void work_times::addTick(instant begin)
{
    add(ticks, begin);
}

void work_times::add(std::size_t position, instant begin)
{
    ++m_shares[position].count;
    m_shares[position].time += loop::now() - begin;
}

std::string work_times::nameOf(std::size_t position)
{
    constexpr std::array<std::string_view, ticks + 1> names{
        "link control", "replication", "configuration", "membership", "spread", "limits",   "claims", "health",
        "operators",    "registry",    "ledger",        "loads",      "lists",  "requests", "timer"};
    return std::string(names[position]);
}

std::string work_times::take()
{
    std::vector<std::size_t> order;
    for (std::size_t position = 0; position < m_shares.size(); ++position) {
        if (m_shares[position].time >= namedTime) {
            order.push_back(position);
        }
    }
    std::ranges::sort(order, std::ranges::greater{}, [this](std::size_t each) { return m_shares[each].time; });
    std::ostringstream text;
    for (const std::size_t each : order) {
        text << (each == order.front() ? "" : ", ") << nameOf(each) << ' ' << m_shares[each].count << " in "
             << m_shares[each].time / milliseconds(1) << " ms";
    }
    m_shares = {};
    return text.str();
}

} // namespace guavafront
