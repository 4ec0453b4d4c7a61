#pragma once

#include <guavafront/coordination/configuration/confirmations.h>
#include <guavafront/coordination/core/result_code.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Answer to an operator who asks how far a revision has come.
struct confirmation_answer {
    revision at; ///< The accepted revision.
    confirmation_status status; ///< How far it has come.
};

/// Ok when the revision is in force on all live entry VMs, else NotConfirmed.
result_code codeOf(const confirmation_answer &answer);

/// JSON with code, name, revision, state ("accepted" or "in_force"), entry_vms and not_confirmed, which lists name, vm,
/// data_centre and unheard of each VM that hasn't confirmed.
std::string toJson(const confirmation_answer &answer);

/// Reads "revision=N", the query of GET /v1/confirmations. Throws coordination_error (ChangeInvalid).
revision parseConfirmationQuery(std::string_view query);

} // namespace guavafront
