#include "wire/change_json.h"

#include "wire/cbor_fields.h"
#include "wire/configuration_codec.h"
#include "wire/deflate.h"
#include "wire/difference_json.h"

#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <array>
#include <type_traits>
#include <utility>

namespace guavafront
{

namespace
{

using nlohmann::json;

/// Largest text of any field, in bytes. validate() then applies the smaller limits of single fields.
constexpr std::size_t maxTextBytes = 1024;
/// Largest number of parts that the traffic of one route is split into.
constexpr std::size_t maxSplitParts = 64;

std::vector<std::string> textsFromJson(const json &values)
{
    std::vector<std::string> texts;
    for (const json &value : values) {
        const json wrapped = json::array({value});
        texts.push_back(cbor_fields(wrapped, "text", 1).text(maxTextBytes));
    }
    return texts;
}

json fieldsOf(const set_defaults &edit)
{
    return json::array({toJson(edit.values)});
}

json fieldsOf(const create_account &edit)
{
    return json::array({edit.name});
}

json fieldsOf(const set_kind_order &edit)
{
    return json::array({edit.accountName, edit.kinds});
}

json fieldsOf(const grant_key &edit)
{
    return json::array({edit.label, edit.accountName, cborBytes(edit.hash)});
}

json fieldsOf(const withdraw_key &edit)
{
    return json::array({edit.label});
}

json fieldsOf(const put_route &edit)
{
    return json::array({toJson(edit.value)});
}

json fieldsOf(const remove_route &edit)
{
    return json::array({edit.host, edit.pathPrefix});
}

json fieldsOf(const put_exception &edit)
{
    return json::array({toJson(edit.value)});
}

json fieldsOf(const remove_exception &edit)
{
    return json::array({edit.subject, edit.setting});
}

json fieldsOf(const replace_all &edit)
{
    return json::array({cborBytes(deflated(encodeConfiguration(edit.value)))});
}

json fieldsOf(const evacuation_order &edit)
{
    return json::array({edit.dataCentre, static_cast<std::uint8_t>(edit.action), edit.orderedMs});
}

void read(cbor_fields &fields, evacuation_order &edit)
{
    edit.dataCentre = fields.text(maxTextBytes);
    edit.action = fields.enumerator(evacuation_action::Forget);
    edit.orderedMs = fields.integer<std::uint64_t>();
}

void read(cbor_fields &fields, replace_all &edit)
{
    edit.value = decodeConfiguration(inflated(fields.bytes(maxChangesBytes), maxConfigurationBytes));
}

void read(cbor_fields &fields, set_defaults &edit)
{
    edit.values = defaultsFromJson(fields.array(maxTextBytes));
}

void read(cbor_fields &fields, create_account &edit)
{
    edit.name = fields.text(maxTextBytes);
}

void read(cbor_fields &fields, set_kind_order &edit)
{
    edit.accountName = fields.text(maxTextBytes);
    edit.kinds = textsFromJson(fields.array(maxKindsPerAccount));
}

void read(cbor_fields &fields, grant_key &edit)
{
    edit.label = fields.text(maxTextBytes);
    edit.accountName = fields.text(maxTextBytes);
    fields.bytesInto(edit.hash);
}

void read(cbor_fields &fields, withdraw_key &edit)
{
    edit.label = fields.text(maxTextBytes);
}

void read(cbor_fields &fields, put_route &edit)
{
    edit.value = routeFromJson(fields.array(maxTextBytes));
}

void read(cbor_fields &fields, remove_route &edit)
{
    edit.host = fields.text(maxTextBytes);
    edit.pathPrefix = fields.text(maxTextBytes);
}

void read(cbor_fields &fields, put_exception &edit)
{
    edit.value = exceptionFromJson(fields.array(maxTextBytes));
}

void read(cbor_fields &fields, remove_exception &edit)
{
    edit.subject = fields.text(maxTextBytes);
    edit.setting = fields.text(maxTextBytes);
}

/// Number of fields of an encoded change of this type.
template<class edit_type>
std::size_t fieldCountOf(const edit_type &edit, const json & /*encoded*/)
{
    return fieldsOf(edit).size();
}

/// The last two fields of a difference are absent when neither evacuations nor warm-up limits change, so that VMs of
/// earlier builds can read it.
std::size_t fieldCountOf(const configuration_difference & /*edit*/, const json &encoded)
{
    return encoded.size() == differenceFieldCount + 2 ? differenceFieldCount + 2 : differenceFieldCount;
}

template<class edit_type>
change readAs(const json &value)
{
    edit_type edit;
    cbor_fields fields(value, "change", fieldCountOf(edit, value));
    read(fields, edit);
    return edit;
}

using change_reader = change (*)(const json &);

template<std::size_t... tags>
constexpr auto readersOf(std::index_sequence<tags...> /*tags*/)
{
    return std::array<change_reader, sizeof...(tags)>{readAs<std::variant_alternative_t<tags, change>>...};
}

/// Function that reads each kind of change, indexed by the tag. The tag is the position in the variant and is stored in
/// the replicated log, so new kinds of change must be added at the end of the variant.
constexpr auto changeReaders = readersOf(std::make_index_sequence<std::variant_size_v<change>>());

} // namespace

json toJson(const fleet_defaults &values)
{
    return json::array({values.accountRatePerSecond, values.accountBurst, values.requestTimeoutMs,
                        values.healthyFloorPercent, values.retryBudgetPercent, values.announcementLeaseMs,
                        values.stalenessLimitMs, values.claimRetentionMs, values.quarantineDeaths});
}

json toJson(const account &value)
{
    json fields = json::array({value.id.value, value.name, value.kindOrder});
    if (value.priority > 0) {
        fields.push_back(value.priority);
    }
    return fields;
}

json toJson(const account_key &value)
{
    return json::array({value.label, cborBytes(value.hash), value.owner.value});
}

json toJson(const route &value)
{
    json fields = json::array({value.id.value, value.host, value.pathPrefix, value.service, value.kind, value.openToAll,
                               value.ordered, static_cast<std::uint8_t>(value.repeats), value.timeoutMs});
    const bool plain = value.split.empty() && value.targetLatencyMs == 0 && value.priority == 0;
    if (!plain || value.maxAttempts > 0) {
        json parts = json::array();
        for (const weighted_service &each : value.split) {
            parts.push_back(json::array({each.service, each.weight}));
        }
        fields.insert(fields.end(), {std::move(parts), value.targetLatencyMs, value.priority, value.maxAttempts});
    }
    return fields;
}

json toJson(const setting_exception &value)
{
    return json::array({value.subject, value.setting, value.value, value.reason});
}

fleet_defaults defaultsFromJson(const json &value)
{
    cbor_fields fields(value, "defaults", 9);
    fleet_defaults values;
    values.accountRatePerSecond = fields.floatingPoint();
    values.accountBurst = fields.floatingPoint();
    values.requestTimeoutMs = fields.integer<std::uint32_t>();
    values.healthyFloorPercent = fields.integer<std::uint32_t>();
    values.retryBudgetPercent = fields.integer<std::uint32_t>();
    values.announcementLeaseMs = fields.integer<std::uint32_t>();
    values.stalenessLimitMs = fields.integer<std::uint32_t>();
    values.claimRetentionMs = fields.integer<std::uint32_t>();
    values.quarantineDeaths = fields.integer<std::uint32_t>();
    return values;
}

account accountFromJson(const json &value)
{
    constexpr std::size_t plainFields = 3;
    const bool ranked = value.is_array() && value.size() > plainFields;
    cbor_fields fields(value, "account", ranked ? plainFields + 1 : plainFields);
    account result;
    result.id.value = fields.integer<std::uint32_t>();
    result.name = fields.text(maxTextBytes);
    result.kindOrder = textsFromJson(fields.array(maxKindsPerAccount));
    if (ranked) {
        result.priority = fields.integer<std::uint32_t>();
    }
    return result;
}

account_key keyFromJson(const json &value)
{
    cbor_fields fields(value, "key", 3);
    account_key result;
    result.label = fields.text(maxTextBytes);
    fields.bytesInto(result.hash);
    result.owner.value = fields.integer<std::uint32_t>();
    return result;
}

route routeFromJson(const json &value)
{
    constexpr std::size_t plainFields = 9;
    const bool extended = value.is_array() && value.size() > plainFields;
    cbor_fields fields(value, "route", extended ? plainFields + 4 : plainFields);
    route result;
    result.id.value = fields.integer<std::uint32_t>();
    result.host = fields.text(maxTextBytes);
    result.pathPrefix = fields.text(maxTextBytes);
    result.service = fields.text(maxTextBytes);
    result.kind = fields.text(maxTextBytes);
    result.openToAll = fields.boolean();
    result.ordered = fields.boolean();
    result.repeats = fields.enumerator(repeatability::NotRepeatable);
    result.timeoutMs = fields.integer<std::uint32_t>();
    if (extended) {
        for (const json &part : fields.array(maxSplitParts)) {
            cbor_fields partFields(part, "route part", 2);
            weighted_service each{.service = partFields.text(maxTextBytes)};
            each.weight = partFields.floatingPoint();
            result.split.push_back(std::move(each));
        }
        result.targetLatencyMs = fields.integer<std::uint32_t>();
        result.priority = fields.integer<std::uint32_t>();
        result.maxAttempts = fields.integer<std::uint32_t>();
    }
    return result;
}

setting_exception exceptionFromJson(const json &value)
{
    cbor_fields fields(value, "exception", 4);
    setting_exception result;
    result.subject = fields.text(maxTextBytes);
    result.setting = fields.text(maxTextBytes);
    result.value = fields.floatingPoint();
    result.reason = fields.text(maxReasonBytes);
    return result;
}

json toJson(const caller_limits &value)
{
    return json::array({value.headerBytes, value.bodyBytes, value.headerTimeoutMs, value.idleTimeoutMs});
}

caller_limits limitsFromJson(const json &value)
{
    cbor_fields fields(value, "caller limits", 4);
    caller_limits limits;
    limits.headerBytes = fields.integer<std::uint32_t>();
    limits.bodyBytes = fields.integer<std::uint32_t>();
    limits.headerTimeoutMs = fields.integer<std::uint32_t>();
    limits.idleTimeoutMs = fields.integer<std::uint32_t>();
    return limits;
}

json toJson(const evacuation &value)
{
    return json::array({value.dataCentre, value.inForce, value.startedMs, value.endedMs});
}

evacuation evacuationFromJson(const json &value)
{
    cbor_fields fields(value, "evacuation", 4);
    evacuation result;
    result.dataCentre = fields.text(maxTextBytes);
    result.inForce = fields.boolean();
    result.startedMs = fields.integer<std::uint64_t>();
    result.endedMs = fields.integer<std::uint64_t>();
    return result;
}

json toJson(const service_warmup &value)
{
    return json::array({value.service, value.warmupMs, value.perSecond});
}

service_warmup warmupFromJson(const json &value)
{
    cbor_fields fields(value, "warm-up limit", 3);
    service_warmup limit;
    limit.service = fields.text(maxNameBytes);
    limit.warmupMs = fields.integer<std::uint32_t>();
    limit.perSecond = fields.floatingPoint();
    return limit;
}

json toJson(const change &edit)
{
    return json::array({edit.index(), std::visit([](const auto &value) { return fieldsOf(value); }, edit)});
}

change changeFromJson(const json &value)
{
    cbor_fields tagged(value, "change", 2);
    const std::uint64_t tag = tagged.integerUpTo(changeReaders.size() - 1);
    return changeReaders[tag](tagged.array(maxTextBytes));
}

} // namespace guavafront
