#pragma once

#include <guavafront/coordination/core/result_code.h>

namespace guavafront
{

/// Exit statuses of the program, documented in docs/OPERATIONS.md.
enum class exit_status : int {
    Done = 0, ///< The command succeeded.
    Refused = 1, ///< The command was refused or failed, and changed nothing.
    Usage = 2, ///< The command line or a settings file is wrong.
    OutcomeUnknown = 3, ///< There was no answer, so the change may have been made. Resend it with the same request ID.
    Unconfirmed = 4, ///< The change is accepted permanently, but not yet in force on all live entry VMs.
    Alert = 5, ///< The report was made and at least one alert is firing.
};

/// Exit status of a command that ended with a result code.
exit_status exitStatusOf(result_code code);

} // namespace guavafront
