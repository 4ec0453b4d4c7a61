#pragma once

#include <guavafront/coordination/core/result_code.h>

namespace guavafront
{

/// Exit statuses of the program; the table stands in docs/OPERATIONS.md.
enum class exit_status : int {
    Done = 0, ///< The command did what it says.
    Refused = 1, ///< Refused or failed with a numbered code; nothing was changed.
    Usage = 2, ///< The command line or a settings file is wrong.
    OutcomeUnknown = 3, ///< No answer: it may have been done. Resend with the same request ID.
    Unconfirmed = 4, ///< Accepted and staying so, but not yet in force on all live entry VMs.
    Alert = 5, ///< The report was made and an alert fires.
};

/// Exit status for a code.
exit_status exitStatusOf(result_code code);

} // namespace guavafront
