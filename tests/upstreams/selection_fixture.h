#pragma once

#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace guavafront
{

/// Nine VMs, three in each of the data centres a, b and c, and one service of six instances with 4 slots each, two in
/// each data centre.
struct selection_fixture {
    static constexpr std::uint64_t instanceCount = 6;

    std::vector<registry> registries;
    std::vector<upstream_selection> vms;
    instant now{std::chrono::hours(1)}; ///< Long after the start of VMs and instances, past every ramp.
    /// Whether the first VM receives messages from the second one.
    std::function<bool(std::size_t, std::size_t)> receives = [](std::size_t, std::size_t) {
        return true;
    };

    selection_fixture()
    {
        for (std::uint64_t vm = 0; vm < 9; ++vm) {
            registry &known = registries.emplace_back(registry{.self = {vm + 1}});
            for (std::uint64_t id = 1; id <= instanceCount; ++id) {
                learn(known, {100}, makeAnnouncement(id), instant{});
            }
            upstream_selection &selection = vms.emplace_back();
            selection.self = {vm + 1};
            selection.dataCentre = dataCentreOf(vm / 3);
            selection.fleet.vmsInDataCentre = 3;
            selection.fleet.vms = 9;
            selection.startedAt = instant{};
            followRegistry(selection, known);
        }
    }

    static std::string dataCentreOf(std::uint64_t index)
    {
        return std::string(1, static_cast<char>('a' + index));
    }

    static announcement makeAnnouncement(std::uint64_t id)
    {
        return {.instance = {id},
                .sequence = 1,
                .service = "cobros",
                .dataCentre = dataCentreOf((id - 1) / 2),
                .slots = 4,
                .lease = std::chrono::seconds(3)};
    }

    /// Records attempts of one outcome at an instance by one VM.
    void fail(std::size_t vm, std::uint64_t id, int times = 3, outcome_kind kind = outcome_kind::ConnectFailed)
    {
        for (int time = 0; time < times; ++time) {
            finishAttempt(vms[vm], registries[vm], "cobros", {.instance = {id}, .kind = kind}, now);
        }
    }

    /// Updates the rotation of every VM a few times, half a second apart, and delivers each report to the VMs that
    /// receive from the reporter. Returns how many reports were published.
    int settle(int rounds = 4)
    {
        int published = 0;
        for (int round = 0; round < rounds; ++round) {
            now += std::chrono::milliseconds(500);
            for (std::size_t from = 0; from < vms.size(); ++from) {
                const std::optional<health_report> report = updateRotation(vms[from], registries[from], now);
                published += report ? 1 : 0;
                for (std::size_t to = 0; report && to < vms.size(); ++to) {
                    if (to != from && receives(to, from)) {
                        putReport(vms[to].evidence, vms[from].self, *report);
                    }
                }
            }
        }
        return published;
    }

    /// Delivers every VM's present report to every other VM, as the repair after a partition does.
    void deliverAll()
    {
        for (const upstream_selection &from : vms) {
            const auto report = from.evidence.reports.find(from.self);
            for (upstream_selection &to : vms) {
                if (report != from.evidence.reports.end() && to.self != from.self) {
                    putReport(to.evidence, from.self, report->second);
                }
            }
        }
    }

    /// Instances out of rotation at a VM.
    std::set<std::uint64_t> outAt(std::size_t vm) const
    {
        std::set<std::uint64_t> out;
        for (const instance_id instance : vms[vm].services[0].outOfRotation) {
            out.insert(instance.value);
        }
        return out;
    }

    /// Instances out of rotation at any VM.
    std::set<std::uint64_t> outAnywhere() const
    {
        std::set<std::uint64_t> out;
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            out.merge(outAt(vm));
        }
        return out;
    }

    candidate &member(std::size_t vm, std::uint64_t id)
    {
        return *findCandidate(vms[vm].services[0].candidates, {id});
    }
};

} // namespace guavafront
