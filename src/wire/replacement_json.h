#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Operator's request to replace or remove a control VM.
struct replacement_request {
    vm_id old; ///< Control VM that is removed.
    vm_id replacement; ///< VM that takes the place of the removed one; 0 when none does.
    bool operator==(const replacement_request &) const = default; ///< Memberwise equality.
};

/// Formats the identifier of a VM as 16 hexadecimal digits.
std::string toHex(vm_id id);

/// Parses what toHex() wrote. Throws coordination_error (ChangeInvalid).
vm_id parseVmId(std::string_view hex);

/// Encodes a request as {"old": HEX, "new": HEX}. A removal has no "new".
std::string toJson(const replacement_request &request);

/// Parses what toJson() wrote. Throws coordination_error (ChangeInvalid).
replacement_request parseReplacementJson(std::string_view text);

} // namespace guavafront
