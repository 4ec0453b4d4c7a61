#include "wire/configuration_parts_codec.h"

#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

namespace guavafront
{

namespace
{

/// Largest number of parts that the traffic of one route is split into.
constexpr std::size_t maxSplitParts = 64;
/// Number of fields of an account without a priority, and of a route that has only the fields of the first builds.
constexpr std::size_t plainAccountFields = 3;
constexpr std::size_t plainRouteFields = 9;
constexpr std::size_t extendedRouteFields = plainRouteFields + 4;

[[noreturn]] void failFieldCount()
{
    throw coordination_error(result_code::MessageMalformed, "CBOR array has another number of fields");
}

} // namespace

void write(cbor_writer &out, const std::vector<std::string> &texts)
{
    out.beginArray(texts.size());
    for (const std::string &each : texts) {
        out.text(each);
    }
}

void read(cbor_reader &in, std::vector<std::string> &texts, std::size_t maxTexts)
{
    for (std::size_t left = in.beginArray(maxTexts); left > 0; --left) {
        texts.push_back(in.text(maxTextBytes));
    }
}

void write(cbor_writer &out, const fleet_defaults &values)
{
    out.beginArray(9);
    out.floatingPoint(values.accountRatePerSecond);
    out.floatingPoint(values.accountBurst);
    for (const std::uint32_t each :
         {values.requestTimeoutMs, values.healthyFloorPercent, values.retryBudgetPercent, values.announcementLeaseMs,
          values.stalenessLimitMs, values.claimRetentionMs, values.quarantineDeaths}) {
        out.integer(each);
    }
}

void write(cbor_writer &out, const account &value)
{
    const bool ranked = value.priority > 0;
    out.beginArray(ranked ? plainAccountFields + 1 : plainAccountFields);
    out.integer(value.id.value);
    out.text(value.name);
    write(out, value.kindOrder);
    if (ranked) {
        out.integer(value.priority);
    }
}

void write(cbor_writer &out, const account_key &value)
{
    out.beginArray(3);
    out.text(value.label);
    out.bytes(value.hash);
    out.integer(value.owner.value);
}

void write(cbor_writer &out, const weighted_service &value)
{
    out.beginArray(2);
    out.text(value.service);
    out.floatingPoint(value.weight);
}

void write(cbor_writer &out, const route &value)
{
    const bool plain =
        value.split.empty() && value.targetLatencyMs == 0 && value.priority == 0 && value.maxAttempts == 0;
    out.beginArray(plain ? plainRouteFields : extendedRouteFields);
    out.integer(value.id.value);
    out.text(value.host);
    out.text(value.pathPrefix);
    out.text(value.service);
    out.text(value.kind);
    out.boolean(value.openToAll);
    out.boolean(value.ordered);
    out.integer(static_cast<std::uint8_t>(value.repeats));
    out.integer(value.timeoutMs);
    if (!plain) {
        write(out, value.split);
        out.integer(value.targetLatencyMs);
        out.integer(value.priority);
        out.integer(value.maxAttempts);
    }
}

void write(cbor_writer &out, const setting_exception &value)
{
    out.beginArray(4);
    out.text(value.subject);
    out.text(value.setting);
    out.floatingPoint(value.value);
    out.text(value.reason);
}

void write(cbor_writer &out, const caller_limits &value)
{
    out.beginArray(4);
    out.integer(value.headerBytes);
    out.integer(value.bodyBytes);
    out.integer(value.headerTimeoutMs);
    out.integer(value.idleTimeoutMs);
}

void write(cbor_writer &out, const evacuation &value)
{
    out.beginArray(4);
    out.text(value.dataCentre);
    out.boolean(value.inForce);
    out.integer(value.startedMs);
    out.integer(value.endedMs);
}

void write(cbor_writer &out, const service_warmup &value)
{
    out.beginArray(3);
    out.text(value.service);
    out.integer(value.warmupMs);
    out.floatingPoint(value.perSecond);
}

void read(cbor_reader &in, fleet_defaults &values)
{
    in.beginFields(9);
    values.accountRatePerSecond = in.floatingPoint();
    values.accountBurst = in.floatingPoint();
    for (std::uint32_t *each :
         {&values.requestTimeoutMs, &values.healthyFloorPercent, &values.retryBudgetPercent,
          &values.announcementLeaseMs, &values.stalenessLimitMs, &values.claimRetentionMs, &values.quarantineDeaths}) {
        *each = in.integer<std::uint32_t>();
    }
}

void read(cbor_reader &in, account &value)
{
    const std::size_t fields = in.beginArray(plainAccountFields + 1);
    if (fields < plainAccountFields) {
        failFieldCount();
    }
    value.id.value = in.integer<std::uint32_t>();
    value.name = in.text(maxTextBytes);
    read(in, value.kindOrder, maxKindsPerAccount);
    value.priority = fields > plainAccountFields ? in.integer<std::uint32_t>() : 0;
}

void read(cbor_reader &in, account_key &value)
{
    in.beginFields(3);
    value.label = in.text(maxTextBytes);
    in.bytesInto(value.hash);
    value.owner.value = in.integer<std::uint32_t>();
}

void read(cbor_reader &in, weighted_service &value)
{
    in.beginFields(2);
    value.service = in.text(maxTextBytes);
    value.weight = in.floatingPoint();
}

void read(cbor_reader &in, route &value)
{
    const std::size_t fields = in.beginArray(extendedRouteFields);
    if (fields != plainRouteFields && fields != extendedRouteFields) {
        failFieldCount();
    }
    value.id.value = in.integer<std::uint32_t>();
    value.host = in.text(maxTextBytes);
    value.pathPrefix = in.text(maxTextBytes);
    value.service = in.text(maxTextBytes);
    value.kind = in.text(maxTextBytes);
    value.openToAll = in.boolean();
    value.ordered = in.boolean();
    value.repeats = in.enumerator(repeatability::NotRepeatable);
    value.timeoutMs = in.integer<std::uint32_t>();
    if (fields == extendedRouteFields) {
        read(in, value.split, maxSplitParts);
        value.targetLatencyMs = in.integer<std::uint32_t>();
        value.priority = in.integer<std::uint32_t>();
        value.maxAttempts = in.integer<std::uint32_t>();
    }
}

void read(cbor_reader &in, setting_exception &value)
{
    in.beginFields(4);
    value.subject = in.text(maxTextBytes);
    value.setting = in.text(maxTextBytes);
    value.value = in.floatingPoint();
    value.reason = in.text(maxReasonBytes);
}

void read(cbor_reader &in, caller_limits &value)
{
    in.beginFields(4);
    value.headerBytes = in.integer<std::uint32_t>();
    value.bodyBytes = in.integer<std::uint32_t>();
    value.headerTimeoutMs = in.integer<std::uint32_t>();
    value.idleTimeoutMs = in.integer<std::uint32_t>();
}

void read(cbor_reader &in, evacuation &value)
{
    in.beginFields(4);
    value.dataCentre = in.text(maxTextBytes);
    value.inForce = in.boolean();
    value.startedMs = in.integer<std::uint64_t>();
    value.endedMs = in.integer<std::uint64_t>();
}

void read(cbor_reader &in, service_warmup &value)
{
    in.beginFields(3);
    value.service = in.text(maxNameBytes);
    value.warmupMs = in.integer<std::uint32_t>();
    value.perSecond = in.floatingPoint();
}

} // namespace guavafront
