#include "program/exit_status.h"

namespace guavafront
{

exit_status exitStatusOf(result_code code)
{
    switch (code) {
    case result_code::Ok:
        return exit_status::Done;
    case result_code::SettingInvalid:
    case result_code::SettingUnknown:
    case result_code::FileUnreadable:
    case result_code::FileExposed:
        return exit_status::Usage;
    case result_code::OutcomeUnknown:
    case result_code::ChangeOutcomeUnknown:
        return exit_status::OutcomeUnknown;
    case result_code::NotConfirmed:
        return exit_status::Unconfirmed;
    default:
        return exit_status::Refused;
    }
}

} // namespace guavafront
