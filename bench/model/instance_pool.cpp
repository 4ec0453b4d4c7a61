#include "model/instance_pool.h"

#include <cmath>
#include <utility>

namespace guavafront::bench
{

instance_pool::instance_pool(event_queue &events, std::mt19937_64 &random, std::size_t instances, std::uint32_t slots,
                             std::uint32_t queue)
    : m_events(events)
    , m_random(random)
    , m_slots(slots)
    , m_queue(queue)
    , m_instances(instances)
{
}

std::uint64_t instance_pool::receive(std::size_t instance, duration meanWork, end_handler ended)
{
    instance_model &at = m_instances[instance];
    const bool free = at.running < m_slots;
    if (!free && at.waiting.size() >= m_queue) {
        ended(false);
        return 0;
    }
    const std::uint64_t number = ++m_last;
    m_requests.emplace(number, held_request{.instance = instance, .meanWork = meanWork, .ended = std::move(ended)});
    if (free) {
        begin(number);
    } else {
        at.waiting.push_back(number);
    }
    return number;
}

void instance_pool::cancel(std::uint64_t number)
{
    if (m_requests.contains(number)) {
        release(number);
    }
}

std::size_t instance_pool::loadOf(std::size_t instance) const
{
    return m_instances[instance].running + m_instances[instance].waiting.size();
}

void instance_pool::begin(std::uint64_t number)
{
    constexpr double spread = 0.5;
    held_request &request = m_requests.at(number);
    request.running = true;
    ++m_instances[request.instance].running;
    const double mean = std::log(static_cast<double>(request.meanWork.count())) - spread * spread / 2;
    const double drawn = std::lognormal_distribution<double>(mean, spread)(m_random);
    m_events.after(duration(static_cast<std::int64_t>(drawn)), [this, number] {
        if (const auto found = m_requests.find(number); found != m_requests.end()) {
            const end_handler ended = std::move(found->second.ended);
            release(number);
            ended(true);
        }
    });
}

void instance_pool::release(std::uint64_t number)
{
    const held_request request = std::move(m_requests.at(number));
    m_requests.erase(number);
    instance_model &at = m_instances[request.instance];
    if (!request.running) {
        std::erase(at.waiting, number);
        return;
    }
    --at.running;
    if (!at.waiting.empty()) {
        const std::uint64_t next = at.waiting.front();
        at.waiting.pop_front();
        begin(next);
    }
}

} // namespace guavafront::bench
