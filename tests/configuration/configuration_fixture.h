#pragma once

#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace guavafront
{

/// Change log at revision 1 with an account, its key, a route and an exception.
struct configuration_fixture {
    /// Author with the role of an operator.
    static constexpr change_author fleetOperator()
    {
        return {operator_role::Operator, {}};
    }

    /// Hash whose bytes all have the given value.
    static key_hash hashOf(unsigned char value)
    {
        key_hash hash;
        hash.fill(std::byte{value});
        return hash;
    }

    /// Changes of revision 1.
    std::vector<change> firstChanges{
        create_account{"panalera"},
        grant_key{"panalera-1", "panalera", hashOf(7)},
        put_route{{.host = "rutas.example", .pathPrefix = "/listas", .service = "rutas", .kind = "lista"}},
        put_exception{{"account:panalera", "accountRatePerSecond", 250.5, "morgunl\xc3\xadsta at 05:00"}},
    };
    change_log log; ///< Change log after firstChanges.

    configuration_fixture()
    {
        log.current = applyChanges(log.current, firstChanges);
    }

    /// Result code with which applyChanges() refuses the changes; Ok when it accepts them.
    result_code codeOf(const std::vector<change> &changes) const
    {
        try {
            applyChanges(log.current, changes);
        } catch (const coordination_error &fault) {
            return fault.code();
        }
        return result_code::Ok;
    }
};

} // namespace guavafront
