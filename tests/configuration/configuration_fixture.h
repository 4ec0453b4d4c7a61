#pragma once

#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace guavafront
{

/// One account with a key, a route and an exception, at revision 1.
struct configuration_fixture {
    static constexpr change_author fleetOperator() ///< An operator's token.
    {
        return {operator_role::Operator, {}};
    }

    /// Hash whose bytes are all the same.
    static key_hash hashOf(unsigned char value)
    {
        key_hash hash;
        hash.fill(std::byte{value});
        return hash;
    }

    std::vector<change> firstChanges{
        create_account{"panalera"},
        grant_key{"panalera-1", "panalera", hashOf(7)},
        put_route{{.host = "rutas.example", .pathPrefix = "/listas", .service = "rutas", .kind = "lista"}},
        put_exception{{"account:panalera", "accountRatePerSecond", 250.5, "morgunl\xc3\xadsta at 05:00"}},
    };
    change_log log; ///< Holds firstChanges.

    configuration_fixture()
    {
        log.current = applyChanges(log.current, firstChanges);
    }

    /// Code with which the changes are refused; Ok when they are accepted.
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
