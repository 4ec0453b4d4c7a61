#pragma once

#include <guavafront/coordination/entry/entry.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace guavafront
{

/// An entry VM with one account, a keyed route for bookings, an open route for flags, and two instances of each
/// service.
struct entry_fixture {
    static constexpr std::uint64_t seed = 20261204; ///< Seed of the random numbers.

    /// State of the entry VM under test, the only VM of its fleet.
    entry state = makeEntry({.self = {1}, .dataCentre = "gdl-a"}, {.limits = {.fleetSize = 1}});
    std::mt19937_64 random{seed}; ///< Source of the random numbers of all steps.
    instant now{std::chrono::seconds(1000)}; ///< Time of the next step.
    std::vector<entry_effect> effects; ///< Effects of the last step.
    bool controlConfirms = true; ///< The control VMs confirm the active configuration before each request.
    std::uint64_t lastExchange = 0; ///< Id of the last request.
    std::uint64_t lastSequence = 0; ///< Sequence number of the last announcement.
    std::shared_ptr<configuration> draft = std::make_shared<configuration>(); ///< Applied by applyDraft().

    entry_fixture()
    {
        draft->accounts = {{.id = {1}, .name = "panalera", .kindOrder = {}}};
        draft->keys = {{.label = "panalera-1", .hash = hashOf(7), .owner = {1}}};
        draft->routes = {
            {.id = {1}, .pathPrefix = "/bookings", .service = "reservas", .kind = "booking"},
            {.id = {2}, .pathPrefix = "/flags", .service = "flagsja", .kind = "flag", .openToAll = true},
        };
        applyDraft();
        for (std::uint64_t id = 1; id <= 4; ++id) {
            announceInstance(id, id <= 2 ? "reservas" : "flagsja");
        }
        // Before that time the VM's rate shares are not available and its token reserves are not full.
        advanceTime(std::chrono::seconds(8));
        confirmKeys();
    }

    /// Advances the time, with a time_passed step at least every 100 ms.
    void advanceTime(duration span)
    {
        const instant end = now + span;
        const duration most = std::chrono::milliseconds(100);
        while (now < end) {
            now += std::min(most, end - now);
            run(time_passed{});
        }
    }

    /// Key hash whose bytes all have the given value.
    static key_hash hashOf(unsigned char value)
    {
        key_hash hash;
        hash.fill(std::byte{value});
        return hash;
    }

    /// Runs one step with the event; its effects replace those of the step before.
    void run(const entry_event &event)
    {
        effects.clear();
        step(state, event, now, random, effects);
    }

    /// Applies the draft configuration as the next revision.
    void applyDraft()
    {
        ++draft->atRevision.value;
        run(configuration_changed{std::make_shared<const configuration>(*draft)});
    }

    /// Announces an instance with four slots and a long lease to the VM.
    void announceInstance(std::uint64_t id, const std::string &service, instance_state where = instance_state::Serving)
    {
        run(instance_announced{{.instance = {id},
                                .sequence = ++lastSequence,
                                .service = service,
                                .ip = "127.0.0.1",
                                .port = static_cast<std::uint16_t>(9000 + id),
                                .dataCentre = "gdl-a",
                                .slots = 4,
                                .state = where,
                                .lease = std::chrono::hours(1)}});
    }

    /// Has the control VMs confirm now that no revision newer than the active one was accepted, unless one is known.
    void confirmKeys()
    {
        if (state.freshness.accepted <= state.activeConfiguration->atRevision) {
            state.keysConfirmedAt = now;
        }
    }

    /// Sends a request, by default with the account's key, and returns its id.
    exchange_id request(std::string_view method, std::string_view path, std::optional<key_hash> key = hashOf(7))
    {
        if (controlConfirms) {
            confirmKeys();
        }
        const exchange_id id{++lastExchange};
        run(request_arrived{{.id = id, .method = method, .host = "any.example", .path = path, .key = key}});
        return id;
    }

    /// The first effect of a type in the last step; null when there is none.
    template<class effect>
    const effect *find() const
    {
        for (const entry_effect &each : effects) {
            if (const auto *found = std::get_if<effect>(&each)) {
                return found;
            }
        }
        return nullptr;
    }

    /// Whether the first refusal of the last step has this code and execution.
    bool refused(result_code code, execution ran) const
    {
        const auto *found = find<refuse_request>();
        return found && found->reason.code == code && found->reason.ran == ran;
    }
};

} // namespace guavafront
