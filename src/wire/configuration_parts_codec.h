#pragma once

#include "wire/cbor_reader.h"
#include "wire/cbor_writer.h"

#include <guavafront/coordination/configuration/configuration.h>

#include <cstddef>
#include <limits>
#include <string>
#include <vector>

namespace guavafront
{

/// Limit for lists whose length is already limited by the size of the encoded message.
constexpr std::size_t unboundedList = std::numeric_limits<std::size_t>::max();
/// Largest text of any field, in bytes. validate() then applies the smaller limits of single fields.
constexpr std::size_t maxTextBytes = 1024;

/// Writes a value as an array of its fields, which is how the replicated log and messages between VMs carry it. The
/// functions that read such an array throw coordination_error (MessageMalformed).
void write(cbor_writer &out, const fleet_defaults &values);
void write(cbor_writer &out, const account &value); ///< Writes a client account as an array.
void write(cbor_writer &out, const account_key &value); ///< Writes an API key as an array.
void write(cbor_writer &out, const weighted_service &value); ///< Writes a part of a route's traffic as an array.
void write(cbor_writer &out, const route &value); ///< Writes a route as an array.
void write(cbor_writer &out, const setting_exception &value); ///< Writes an exception from a default as an array.
void write(cbor_writer &out, const caller_limits &value); ///< Writes the limits of callers as an array.
void write(cbor_writer &out, const evacuation &value); ///< Writes the orders about a data centre as an array.
void write(cbor_writer &out, const service_warmup &value); ///< Writes the limit of cold instances as an array.
void read(cbor_reader &in, fleet_defaults &values); ///< Reads the array of a set of defaults.
void read(cbor_reader &in, account &value); ///< Reads the array of a client account.
void read(cbor_reader &in, account_key &value); ///< Reads the array of an API key.
void read(cbor_reader &in, weighted_service &value); ///< Reads the array of a part of a route's traffic.
void read(cbor_reader &in, route &value); ///< Reads the array of a route.
void read(cbor_reader &in, setting_exception &value); ///< Reads the array of an exception.
void read(cbor_reader &in, caller_limits &value); ///< Reads the array of the limits of callers.
void read(cbor_reader &in, evacuation &value); ///< Reads the array of the orders about a data centre.
void read(cbor_reader &in, service_warmup &value); ///< Reads the array of a limit of cold instances.

/// Writes a list of texts as an array.
void write(cbor_writer &out, const std::vector<std::string> &texts);

/// Reads an array of at most maxTexts texts.
void read(cbor_reader &in, std::vector<std::string> &texts, std::size_t maxTexts);

/// Writes a list as an array of its items.
template<class item>
void write(cbor_writer &out, const std::vector<item> &items)
{
    out.beginArray(items.size());
    for (const item &each : items) {
        write(out, each);
    }
}

/// Reads an array of at most maxItems items.
template<class item>
void read(cbor_reader &in, std::vector<item> &items, std::size_t maxItems = unboundedList)
{
    items.clear();
    for (std::size_t left = in.beginArray(maxItems); left > 0; --left) {
        read(in, items.emplace_back());
    }
}

} // namespace guavafront
