#include "wire/change_codec.h"

#include "wire/configuration_codec.h"
#include "wire/deflate.h"
#include "wire/difference_codec.h"

#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <array>
#include <string>
#include <type_traits>
#include <utility>

namespace guavafront
{

namespace
{

/// Largest text of any field, in bytes. validate() then applies the smaller limits of single fields.
constexpr std::size_t maxTextBytes = 1024;
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

void writeFields(cbor_writer &out, const set_defaults &edit)
{
    out.beginArray(1);
    write(out, edit.values);
}

void writeFields(cbor_writer &out, const create_account &edit)
{
    out.beginArray(1);
    out.text(edit.name);
}

void writeFields(cbor_writer &out, const set_kind_order &edit)
{
    out.beginArray(2);
    out.text(edit.accountName);
    write(out, edit.kinds);
}

void writeFields(cbor_writer &out, const grant_key &edit)
{
    out.beginArray(3);
    out.text(edit.label);
    out.text(edit.accountName);
    out.bytes(edit.hash);
}

void writeFields(cbor_writer &out, const withdraw_key &edit)
{
    out.beginArray(1);
    out.text(edit.label);
}

void writeFields(cbor_writer &out, const put_route &edit)
{
    out.beginArray(1);
    write(out, edit.value);
}

void writeFields(cbor_writer &out, const remove_route &edit)
{
    out.beginArray(2);
    out.text(edit.host);
    out.text(edit.pathPrefix);
}

void writeFields(cbor_writer &out, const put_exception &edit)
{
    out.beginArray(1);
    write(out, edit.value);
}

void writeFields(cbor_writer &out, const remove_exception &edit)
{
    out.beginArray(2);
    out.text(edit.subject);
    out.text(edit.setting);
}

void writeFields(cbor_writer &out, const replace_all &edit)
{
    out.beginArray(1);
    out.bytes(deflated(encodeConfiguration(edit.value)));
}

void writeFields(cbor_writer &out, const evacuation_order &edit)
{
    out.beginArray(3);
    out.text(edit.dataCentre);
    out.integer(static_cast<std::uint8_t>(edit.action));
    out.integer(edit.orderedMs);
}

void readFields(cbor_reader &in, set_defaults &edit)
{
    in.beginFields(1);
    read(in, edit.values);
}

void readFields(cbor_reader &in, create_account &edit)
{
    in.beginFields(1);
    edit.name = in.text(maxTextBytes);
}

void readFields(cbor_reader &in, set_kind_order &edit)
{
    in.beginFields(2);
    edit.accountName = in.text(maxTextBytes);
    read(in, edit.kinds, maxKindsPerAccount);
}

void readFields(cbor_reader &in, grant_key &edit)
{
    in.beginFields(3);
    edit.label = in.text(maxTextBytes);
    edit.accountName = in.text(maxTextBytes);
    in.bytesInto(edit.hash);
}

void readFields(cbor_reader &in, withdraw_key &edit)
{
    in.beginFields(1);
    edit.label = in.text(maxTextBytes);
}

void readFields(cbor_reader &in, put_route &edit)
{
    in.beginFields(1);
    read(in, edit.value);
}

void readFields(cbor_reader &in, remove_route &edit)
{
    in.beginFields(2);
    edit.host = in.text(maxTextBytes);
    edit.pathPrefix = in.text(maxTextBytes);
}

void readFields(cbor_reader &in, put_exception &edit)
{
    in.beginFields(1);
    read(in, edit.value);
}

void readFields(cbor_reader &in, remove_exception &edit)
{
    in.beginFields(2);
    edit.subject = in.text(maxTextBytes);
    edit.setting = in.text(maxTextBytes);
}

void readFields(cbor_reader &in, replace_all &edit)
{
    in.beginFields(1);
    edit.value = decodeUncheckedConfiguration(inflated(in.bytes(maxProposalBytes), maxConfigurationBytes));
}

void readFields(cbor_reader &in, evacuation_order &edit)
{
    in.beginFields(3);
    edit.dataCentre = in.text(maxTextBytes);
    edit.action = in.enumerator(evacuation_action::Forget);
    edit.orderedMs = in.integer<std::uint64_t>();
}

template<class edit_type>
change readAs(cbor_reader &in)
{
    edit_type edit;
    readFields(in, edit);
    return edit;
}

using change_reader = change (*)(cbor_reader &);

template<std::size_t... tags>
constexpr auto readersOf(std::index_sequence<tags...> /*tags*/)
{
    return std::array<change_reader, sizeof...(tags)>{readAs<std::variant_alternative_t<tags, change>>...};
}

/// Function that reads each kind of change, indexed by the tag. The tag is the position in the variant and is stored in
/// the replicated log, so new kinds of change must be added at the end of the variant.
constexpr auto changeReaders = readersOf(std::make_index_sequence<std::variant_size_v<change>>());

} // namespace

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

void write(cbor_writer &out, const change &edit)
{
    out.beginArray(2);
    out.integer(edit.index());
    std::visit([&out](const auto &value) { writeFields(out, value); }, edit);
}

void read(cbor_reader &in, change &edit)
{
    in.beginFields(2);
    edit = changeReaders[in.integerUpTo(changeReaders.size() - 1)](in);
}

} // namespace guavafront
