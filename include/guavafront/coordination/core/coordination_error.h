#pragma once

#include <guavafront/coordination/core/result_code.h>

#include <stdexcept>
#include <string>

namespace guavafront
{

/// Error with a numbered result code; thrown for bad outside input and failed operations.
class coordination_error : public std::runtime_error
{
public:
    /// Error with code and a text for the person on call; the text names the subject, never a secret.
    coordination_error(result_code code, const std::string &text)
        : std::runtime_error(text)
        , m_code(code)
    {
    }

    /// The numbered reason.
    result_code code() const
    {
        return m_code;
    }

private:
    result_code m_code; ///< The numbered reason.
};

} // namespace guavafront
