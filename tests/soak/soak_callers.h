#pragma once

#include "soak/soak_record.h"

#include <map>
#include <span>
#include <stop_token>
#include <string>
#include <vector>

namespace guavafront
{

class platform_processes;

/// What all callers of a soak know. It doesn't change while they run; each caller keeps what it sees for itself.
struct soak_scene {
    const platform_processes &fleet; ///< Processes.
    const soak_plan &plan; ///< What is played.
    std::vector<std::string> controls; ///< Control VMs that run at any time, in order of their start.
    std::vector<std::string> entries; ///< Entry VMs.
    std::vector<std::string> hosts; ///< Host names of all routes.
    std::vector<std::string> instances; ///< Instances.
    instant startedAt{}; ///< Begin of the plan.
};

/// Answer to a call of the operator; a status of 0 for none.
struct operator_answer {
    int status = 0; ///< Status of the last answer.
    std::string body; ///< Its body.
    std::string vm; ///< IP number of the control VM that gave it, or was asked last.
};

/// Calls one control VM and follows redirects twice, as the platform's operator does.
operator_answer callAsOperator(const platform_processes &fleet, const std::string &control, std::string_view call,
                               std::string_view body);

/// Sends a change to control VMs until it gets a clear answer, at most `tries` times; returns whether it was
/// acknowledged. All attempts are added to `seen`.
bool sendChange(const soak_scene &scene, std::size_t change, std::uint64_t version, bool again, int tries,
                std::size_t firstControl, std::vector<sent_change> &seen);

/// Reads the configuration at a control VM; adds to `seen` what it gave. Returns the answer.
operator_answer readConfiguration(const soak_scene &scene, const std::string &control, std::vector<seen_read> &seen);

/// Plays one operator until its orders are done or it is stopped.
void playOperator(const std::stop_token &stop, const soak_scene &scene, int sender, std::vector<sent_change> &seen);

/// Reads the configuration at one control VM after the other until it is stopped.
void playReader(const std::stop_token &stop, const soak_scene &scene, std::size_t first, std::vector<seen_read> &seen);

/// Sends requests on all routes to one entry VM, one after the other, until it is stopped. Each request runs for
/// `runTime` at its instance.
void playClient(const std::stop_token &stop, const soak_scene &scene, const std::string &entry, duration runTime,
                std::vector<seen_request> &seen);

/// Sends the heartbeats of one instance until it is stopped.
void playInstance(const std::stop_token &stop, const soak_scene &scene, const std::string &instance);

} // namespace guavafront
