#include "wire/ledger_codec.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <cmath>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxMessageBytes = std::size_t{256} << 10;
constexpr std::size_t maxAccounts = 10'000;
constexpr std::size_t entryFields = 10; // Of an entry of a report.
constexpr std::size_t oldEntryFields = 7; // Builds before the reserve was reported.
constexpr std::size_t balanceFields = 6; // Of a balance of a statement.
constexpr std::size_t oldBalanceFields = 5; // For VMs that don't report their reserve.

double readFinite(cbor_fields &fields)
{
    const double value = fields.floatingPoint();
    if (!std::isfinite(value)) {
        throw coordination_error(result_code::MessageMalformed, "ledger: a number is not finite");
    }
    return value;
}

/// Rounds to single precision, which is enough for levels and rates and makes the message smaller.
float toSinglePrecision(double value)
{
    return static_cast<float>(value);
}

json fieldsOf(const ledger_report &report)
{
    json entries = json::array();
    for (const ledger_entry &each : report.entries) {
        entries.push_back(json::array(
            {each.account.value, toSinglePrecision(each.limit.ratePerSecond), toSinglePrecision(each.limit.burst),
             toSinglePrecision(each.spent), each.closing, toSinglePrecision(each.level), each.waitingRequests,
             toSinglePrecision(each.reserve), each.totalSpent, toSinglePrecision(each.reservedTotal)}));
    }
    return json::array({0, report.configuration, std::move(entries)});
}

json fieldsOf(const ledger_statement &statement)
{
    json balances = json::array();
    for (const ledger_balance &each : statement.balances) {
        json balance = json::array({each.account.value, toSinglePrecision(each.level), toSinglePrecision(each.share),
                                    toSinglePrecision(each.reserve), each.granted});
        if (each.reservedTotal > 0) {
            balance.push_back(toSinglePrecision(each.reservedTotal));
        }
        balances.push_back(std::move(balance));
    }
    return json::array({1, 0, std::move(balances)});
}

ledger_report reportFrom(std::uint64_t configuration, const json &entries)
{
    ledger_report report{.configuration = configuration, .entries = {}};
    for (const json &each : entries) {
        const bool isComplete = each.size() != oldEntryFields;
        cbor_fields fields(each, "ledger entry", isComplete ? entryFields : oldEntryFields);
        ledger_entry entry;
        entry.account.value = fields.integer<std::uint32_t>();
        entry.limit.ratePerSecond = readFinite(fields);
        entry.limit.burst = readFinite(fields);
        entry.spent = readFinite(fields);
        entry.closing = fields.boolean();
        entry.level = readFinite(fields);
        entry.waitingRequests = fields.integer<std::uint32_t>();
        if (isComplete) {
            entry.reserve = readFinite(fields);
            entry.totalSpent = fields.integer<std::uint64_t>();
            entry.reservedTotal = readFinite(fields);
        }
        report.entries.push_back(entry);
    }
    return report;
}

ledger_statement statementFrom(const json &balances)
{
    ledger_statement statement;
    for (const json &each : balances) {
        const bool hasTotal = each.size() != oldBalanceFields;
        cbor_fields fields(each, "ledger balance", hasTotal ? balanceFields : oldBalanceFields);
        ledger_balance balance;
        balance.account.value = fields.integer<std::uint32_t>();
        balance.level = readFinite(fields);
        balance.share = readFinite(fields);
        balance.reserve = readFinite(fields);
        balance.granted = fields.integer<std::uint32_t>();
        balance.reservedTotal = hasTotal ? readFinite(fields) : 0;
        statement.balances.push_back(balance);
    }
    return statement;
}

} // namespace

std::vector<std::byte> encodeLedgerMessage(const ledger_message &message)
{
    return encodeCbor(std::visit([](const auto &each) { return fieldsOf(each); }, message));
}

ledger_message decodeLedgerMessage(std::span<const std::byte> encoded)
{
    const json value = parseCbor(encoded, maxMessageBytes);
    cbor_fields fields(value, "ledger message", 3);
    const std::uint64_t kind = fields.integerUpTo(1);
    const std::uint64_t configuration = fields.integer<std::uint64_t>();
    const json &list = fields.array(maxAccounts);
    if (kind == 0) {
        return reportFrom(configuration, list);
    }
    return statementFrom(list);
}

} // namespace guavafront
