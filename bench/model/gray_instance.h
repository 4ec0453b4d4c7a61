#pragma once

#include "model/avoidance_run.h"

#include <deque>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace guavafront::bench
{

/// Interval in which one instance is gray.
struct gray_interval {
    instant from{}; ///< Start.
    instant to{}; ///< End.
    instant healthyAt{}; ///< When the instance counts as healthy again.
    bool isEvent = false; ///< The interval is that of a gray_event.
    double failedShare = 0; ///< Share of its requests whose connection it closes.
    double unansweredShare = 0; ///< Share of its requests that it runs without answering.
    double slowdown = 1; ///< Factor on the service time of its requests.
};

/// One instance of a service, gray in some intervals.
struct gray_instance {
    std::string dataCentre; ///< Data centre of the instance.
    std::vector<gray_interval> grayIntervals; ///< Intervals in which it is gray; may overlap.
    std::uint32_t running = 0; ///< Requests in its slots.
    std::deque<std::size_t> waiting; ///< Indexes of the requests in its queue, oldest first.
    std::vector<instant> received; ///< Times at which requests reached it.
    std::vector<instant> failed; ///< Times at which it failed a request, in order.
};

/// Draws the gray intervals that each instance has independently of the others, for a run that begins at start.
void drawNoiseIntervals(std::span<gray_instance> instances, const avoidance_options &options, instant start,
                        std::mt19937_64 &random);

/// Draws the instances that an event affects, and adds the gray interval to each.
void drawGrayEvent(std::span<gray_instance> instances, const gray_event &event, instant start, std::mt19937_64 &random);

/// Draws whether a request at the instance is affected by a fault of one kind, given by the member with its share.
bool isAffected(const gray_instance &instance, double gray_interval::*share, instant now, std::mt19937_64 &random);

/// Factor on the service time of a request that starts at a time; overlapping intervals multiply.
double slowdownOf(const gray_instance &instance, instant now);

/// Whether the instance counts as healthy throughout the time between from and to.
bool isHealthy(const gray_instance &instance, instant from, instant to);

/// Whether the instance counts as sound throughout the time between from and to: outside gray_events as isHealthy(),
/// and with no failed request later than 2 s before. An instance whose own gray interval goes on is sound while it
/// isn't tried.
bool isSound(const gray_instance &instance, instant from, instant to);

/// A duration drawn from the exponential distribution.
duration exponential(duration mean, std::mt19937_64 &random);

} // namespace guavafront::bench
