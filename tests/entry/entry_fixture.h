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
    static constexpr std::uint64_t seed = 20261204; ///< Of the random numbers.

    /// The subject; the only VM of its fleet.
    entry state = makeEntry({.self = {1}, .dataCentre = "gdl-a"}, {.limits = {.fleetSize = 1}});
    std::mt19937_64 random{seed}; ///< Random numbers of all steps.
    instant now{std::chrono::seconds(1000)}; ///< Time of the next step.
    std::vector<entry_effect> effects; ///< Effects of the last step.
    std::uint64_t lastExchange = 0; ///< Highest number given to a request.
    std::uint64_t lastSequence = 0; ///< Highest sequence number of an announcement.
    std::shared_ptr<configuration> draft = std::make_shared<configuration>(); ///< What applyDraft() puts in force.

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
        advanceTime(std::chrono::seconds(8)); // The VM's shares are free and its reserves full.
    }

    /// Lets time go by, with a step whenever one is asked for.
    void advanceTime(duration span)
    {
        const instant end = now + span;
        const duration most = std::chrono::milliseconds(100);
        while (now < end) {
            now += std::min(most, end - now);
            run(time_passed{});
        }
    }

    /// Hash whose bytes are all the same.
    static key_hash hashOf(unsigned char value)
    {
        key_hash hash;
        hash.fill(std::byte{value});
        return hash;
    }

    /// One step.
    void run(const entry_event &event)
    {
        effects.clear();
        step(state, event, now, random, effects);
    }

    /// Puts the draft in force as the next revision.
    void applyDraft()
    {
        ++draft->atRevision.value;
        run(configuration_changed{std::make_shared<const configuration>(*draft)});
    }

    /// An announcement made to this VM.
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

    /// A request with the account's key.
    exchange_id request(std::string_view method, std::string_view path, std::optional<key_hash> key = hashOf(7))
    {
        const exchange_id id{++lastExchange};
        run(request_arrived{{.id = id, .method = method, .host = "any.example", .path = path, .key = key}});
        return id;
    }

    /// The first effect of a kind in the last step; null when there is none.
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

    /// Whether the last step refused a request so.
    bool refused(result_code code, execution ran) const
    {
        const auto *found = find<refuse_request>();
        return found && found->reason.code == code && found->reason.ran == ran;
    }
};

} // namespace guavafront
