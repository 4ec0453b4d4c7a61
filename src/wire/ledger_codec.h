#pragma once

#include <guavafront/coordination/limits/ledger.h>

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// Message between a VM that spends from an account's budget and the VM that owns the budget.
using ledger_message = std::variant<ledger_report, ledger_statement>;

/// Encodes a ledger message as CBOR.
std::vector<std::byte> encodeLedgerMessage(const ledger_message &message);

/// Decodes what encodeLedgerMessage() wrote. Throws coordination_error (MessageMalformed, MessageTooLarge,
/// MessageUnknown).
ledger_message decodeLedgerMessage(std::span<const std::byte> encoded);

} // namespace guavafront
