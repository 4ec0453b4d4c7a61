#pragma once

#include "fleet/fleet_processes.h"

#include <string>

namespace guavafront
{

/// Fleet with one control VM, three entry VMs, one stand-in of the service "cobros" and one client account. The
/// constructor waits until a request with an idempotency key succeeds, which needs a claim.
struct idempotency_fixture {
    fleet_processes fleet{fleet_layout{.controls = 1, .entries = 3}};
    std::string key;
    std::string upstream;

    idempotency_fixture()
    {
        fleet.startAll();
        key = fleet.createAccount("panalera");
        fleet.runOperatorCommand(
            {"route", "put", "/cobros", "--service", "cobros", "--kind", "cobro", "--timeout-ms", "2000"});
        upstream = fleet.startUpstream("cobros", {"entry-1"});
        for (const std::string &entry : fleet.entries()) {
            fleet.waitForStatus(entry, "/cobros/ready", key, 200);
        }
        int attempt = 0;
        waitForClaim([&] {
            return fleet.post("entry-3", "/cobros/first", key, "{}", "first-" + std::to_string(++attempt)).status
                   == 200;
        });
    }

    static void waitForClaim(const std::function<bool()> &condition)
    {
        fleet_processes::waitUntil("a claim can be made", condition);
    }

    /// Number of request IDs that contain the text and that the stand-in has run, as listed by its page /counts.
    std::size_t runsOf(const std::string &requestIdPart) const
    {
        const std::string counts = bodyOf(fleet.requestUpstream(upstream, "GET", "/counts"));
        std::size_t runs = 0;
        for (std::size_t at = counts.find(requestIdPart); at != std::string::npos;
             at = counts.find(requestIdPart, at + 1)) {
            ++runs;
        }
        return runs;
    }
};

} // namespace guavafront
