#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Operator's request to replace or remove a control VM.
struct replacement_request {
    vm_id old; ///< Member that goes.
    vm_id replacement; ///< VM that takes its place; 0 removes only.
    bool operator==(const replacement_request &) const = default; ///< Memberwise equality.
};

/// 16 hexadecimal digits.
std::string toHex(vm_id id);

/// Reads toHex(). Throws coordination_error (ChangeInvalid).
vm_id parseVmId(std::string_view hex);

/// {"old": HEX, "new": HEX}; "new" is left out for a removal.
std::string toJson(const replacement_request &request);

/// Reads toJson(). Throws coordination_error (ChangeInvalid).
replacement_request parseReplacementJson(std::string_view text);

} // namespace guavafront
