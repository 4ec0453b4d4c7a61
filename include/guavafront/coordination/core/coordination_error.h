#pragma once

#include <guavafront/coordination/core/result_code.h>

#include <stdexcept>
#include <string>

namespace guavafront
{

/// Error with a numbered result code; thrown for invalid outside input and for failed operations.
class coordination_error : public std::runtime_error
{
public:
    /// Error with a code and a text for the operator on call. The text names the subject and never contains a secret.
    coordination_error(result_code code, const std::string &text)
        : std::runtime_error(text)
        , m_code(code)
    {
    }

    /// The result code.
    result_code code() const
    {
        return m_code;
    }

private:
    result_code m_code; ///< The result code.
};

} // namespace guavafront
