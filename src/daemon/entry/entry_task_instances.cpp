// The part of entry_task that tells operators what this VM learned of instances.
#include "daemon/entry/entry_task.h"

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace guavafront
{

namespace
{

constexpr int hexBase = 16;

std::string hexOf(vm_id vm)
{
    std::array<char, 2 * sizeof vm.value> digits{};
    char *end = std::to_chars(digits.data(), digits.data() + digits.size(), vm.value, hexBase).ptr;
    return {digits.data(), end};
}

std::string_view stateName(instance_state state)
{
    constexpr std::array<std::string_view, 4> names{"starting", "serving", "draining", "leaving"};
    return names.at(static_cast<std::size_t>(state));
}

std::string_view stateName(const std::optional<held_instance> &held)
{
    return held ? stateName(held->state) : "unknown";
}

std::string_view stepName(registry_step step)
{
    constexpr std::array<std::string_view, 4> names{"serving", "withdrawn", "lease_ended", "outdated"};
    return names.at(static_cast<std::size_t>(step));
}

std::string_view pathName(news_path path)
{
    constexpr std::array<std::string_view, 3> names{"spread_map", "registrar", "catch_up"};
    return names.at(static_cast<std::size_t>(path));
}

} // namespace

void entry_task::perform(const report_departure &effect)
{
    const held_instance before = effect.before.value_or(held_instance{});
    m_log.write("departure", loop::now(),
                {{"instance", effect.what.name},
                 {"state", stateName(effect.what.state)},
                 {"start", static_cast<std::int64_t>(effect.what.processStartMs)},
                 {"sequence", static_cast<std::int64_t>(effect.what.sequence)},
                 {"from", hexOf(effect.from)},
                 {"changed", std::int64_t{effect.changed}},
                 {"before", stateName(effect.before)},
                 {"before_sequence", static_cast<std::int64_t>(before.sequence)},
                 {"before_registrar", hexOf(before.registrar)}},
                line_rate::Exempt);
}

void entry_task::perform(const report_instance &effect)
{
    const held_instance before = effect.before.value_or(held_instance{});
    const bool hadDeparted = before.state >= instance_state::Draining || effect.step == registry_step::Outdated;
    m_log.write("instance", loop::now(),
                {{"instance", effect.name},
                 {"change", stepName(effect.step)},
                 {"start", static_cast<std::int64_t>(effect.processStartMs)},
                 {"sequence", static_cast<std::int64_t>(effect.sequence)},
                 {"registrar", hexOf(effect.registrar)},
                 {"path", pathName(effect.path)},
                 {"from", hexOf(effect.from)},
                 {"before", stateName(effect.before)},
                 {"before_sequence", static_cast<std::int64_t>(before.sequence)}},
                hadDeparted ? line_rate::Exempt : line_rate::Limited);
}

void entry_task::perform(const report_standing &effect)
{
    m_counters.setInstanceCounts(effect.service, effect.standing);
    m_log.write("standing", loop::now(),
                {{"service", effect.service},
                 {"serving", std::int64_t{effect.standing.serving}},
                 {"open", std::int64_t{effect.standing.open}},
                 {"trial", std::int64_t{effect.standing.trial}},
                 {"avoided", std::int64_t{effect.standing.avoided}},
                 {"paused", std::int64_t{effect.standing.paused}},
                 {"leaving", std::int64_t{effect.standing.leaving}},
                 {"evacuated", std::int64_t{effect.standing.evacuated}}});
}

} // namespace guavafront
