#include "wire/change_codec.h"

#include "wire/configuration_codec.h"
#include "wire/configuration_parts_codec.h"
#include "wire/deflate.h"
#include "wire/difference_codec.h"

#include <guavafront/coordination/configuration/validation.h>

#include <array>
#include <type_traits>
#include <utility>

namespace guavafront
{

namespace
{

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
