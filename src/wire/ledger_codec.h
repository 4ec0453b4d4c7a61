#pragma once

#include <guavafront/coordination/limits/ledger.h>

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// A message between a VM that spends and an owner.
using ledger_message = std::variant<ledger_report, ledger_statement>;

/// CBOR of a message.
std::vector<std::byte> encodeLedgerMessage(const ledger_message &message);

/// The message. Throws coordination_error (MessageMalformed, MessageTooLarge, MessageUnknown).
ledger_message decodeLedgerMessage(std::span<const std::byte> encoded);

} // namespace guavafront
