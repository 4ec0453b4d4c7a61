#pragma once

#include <guavafront/coordination/configuration/confirmations.h>
#include <guavafront/coordination/core/result_code.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Answer to an operator who asks which entry VMs have a revision in force.
struct confirmation_answer {
    revision at; ///< Accepted revision that the operator asks about.
    confirmation_status status; ///< Whether all live entry VMs have the revision in force, and which do not.
};

/// Code of the answer: Ok when the revision is in force on all live entry VMs, else NotConfirmed.
result_code codeOf(const confirmation_answer &answer);

/// Encodes an answer as JSON with the members code, name, revision, state ("accepted" or "in_force"), entry_vms and
/// not_confirmed. The last lists name, vm, data_centre and unheard of each VM that hasn't confirmed; unheard is true
/// when the VM has been declared dead.
std::string toJson(const confirmation_answer &answer);

/// Parses "revision=N", the query of GET /v1/confirmations. Throws coordination_error (ChangeInvalid).
revision parseConfirmationQuery(std::string_view query);

} // namespace guavafront
