#pragma once

#include "model/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

namespace guavafront::bench
{

/// Instances of a service on virtual time, each with slots and a queue in order of arrival.
class instance_pool
{
public:
    /// Called at the end of a request; answered is false when the instance refused it for lack of room.
    using end_handler = std::function<void(bool answered)>;

    /// Creates idle instances. The event queue and the random numbers must outlive them.
    instance_pool(event_queue &events, std::mt19937_64 &random, std::size_t instances, std::uint32_t slots,
                  std::uint32_t queue);

    /// Hands a request with a mean service time to an instance. Returns its number; 0 when it was refused.
    std::uint64_t receive(std::size_t instance, duration meanWork, end_handler ended);

    /// Drops a request whose caller has gone; does nothing when it has ended.
    void cancel(std::uint64_t number);

    /// Requests that run or wait at an instance.
    std::size_t loadOf(std::size_t instance) const;

private:
    struct instance_model {
        std::uint32_t running = 0; ///< Requests in its slots.
        std::deque<std::uint64_t> waiting; ///< Requests in its queue, oldest first.
    };

    struct held_request {
        std::size_t instance = 0; ///< Index of its instance.
        duration meanWork{}; ///< Mean service time.
        end_handler ended; ///< Called at its end.
        bool running = false; ///< It has a slot.
    };

    void begin(std::uint64_t number);
    void release(std::uint64_t number);

    event_queue &m_events; ///< Events on virtual time; not owned.
    std::mt19937_64 &m_random; ///< Source of the service times; not owned.
    std::uint32_t m_slots; ///< Requests that an instance runs at once.
    std::uint32_t m_queue; ///< Requests that wait at an instance.
    std::vector<instance_model> m_instances; ///< All instances.
    std::unordered_map<std::uint64_t, held_request> m_requests; ///< Requests that run or wait, by number.
    std::uint64_t m_last = 0; ///< Number of the last request.
};

} // namespace guavafront::bench
