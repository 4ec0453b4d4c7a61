#pragma once

#include "model/avoidance_run.h"

#include <deque>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace guavafront::bench
{

/// A stretch in which one instance is gray.
struct gray_interval {
    instant from{}; ///< Start.
    instant to{}; ///< End.
    instant healthyAt{}; ///< When it counts as sound again.
    double failedShare = 0; ///< Share of the requests that it breaks off.
    double unansweredShare = 0; ///< Share of the requests that it runs without an answer.
    double slowdown = 1; ///< Factor on the time that a request takes.
};

/// One instance of a service, which goes gray by turns.
struct gray_instance {
    std::string dataCentre; ///< Where it stands.
    std::vector<gray_interval> grayIntervals; ///< Its spells.
    std::uint32_t running = 0; ///< Requests in slots.
    std::deque<std::size_t> waiting; ///< Requests in its queue, oldest first.
    std::vector<instant> received; ///< When requests reached it.
};

/// Draws the spells that the instances have by themselves, for a run that begins at start.
void drawNoiseIntervals(std::span<gray_instance> instances, const avoidance_options &options, instant start,
                        std::mt19937_64 &random);

/// Draws which instances have a spell.
void drawGrayEvent(std::span<gray_instance> instances, const gray_event &event, instant start, std::mt19937_64 &random);

/// Whether a trouble that strikes a share of the requests strikes one at that time.
bool isAffected(const gray_instance &instance, double gray_interval::*share, instant now, std::mt19937_64 &random);

/// Factor on the time that a request takes.
double slowdownOf(const gray_instance &instance, instant now);

/// Whether it counts as sound all the while.
bool isHealthy(const gray_instance &instance, instant from, instant to);

/// A duration drawn from the exponential distribution.
duration exponential(duration mean, std::mt19937_64 &random);

} // namespace guavafront::bench
