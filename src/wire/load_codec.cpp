#include "wire/load_codec.h"

#include "wire/cbor_fields.h"

#include <algorithm>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxMessageBytes = std::size_t{256} << 10;
constexpr std::size_t maxLoads = 20'000;
constexpr std::size_t maxRoutes = 4'096; ///< Routes in one message.
constexpr std::size_t maxBins = 1'024; ///< Service times of a route in one message.

/// A time in whole milliseconds, at least 0.
std::int64_t toMs(duration time)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::vector<route_samples> decodeSamples(const json &list)
{
    const std::size_t count = list.size() / 3;
    cbor_fields fields(list, "samples", count * 3);
    std::vector<route_samples> samples(count);
    for (route_samples &each : samples) {
        each.route.value = fields.integer<std::uint32_t>();
        each.sum = std::chrono::milliseconds(fields.integer<std::uint32_t>());
        for (const std::byte bin : fields.bytes(maxBins)) {
            each.bins.push_back(std::to_integer<std::uint8_t>(bin));
        }
    }
    return samples;
}

std::vector<shared_estimate> decodeEstimates(const json &list)
{
    const std::size_t count = list.size() / 4;
    cbor_fields fields(list, "estimates", count * 4);
    std::vector<shared_estimate> estimates(count);
    for (shared_estimate &each : estimates) {
        each.route.value = fields.integer<std::uint32_t>();
        each.work.mean = std::chrono::milliseconds(fields.integer<std::uint32_t>());
        each.work.tail = std::chrono::milliseconds(fields.integer<std::uint32_t>());
        each.weight = fields.integer<std::uint32_t>();
    }
    return estimates;
}

} // namespace

std::vector<std::byte> encodeLoads(const load_message &message)
{
    json loads = json::array();
    for (const instance_load &each : message.loads) {
        const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(each.age).count();
        loads.push_back(each.instance.value);
        loads.push_back(each.requests);
        loads.push_back(ageMs > 0 ? ageMs : 0);
    }
    return encodeCbor(json::array({static_cast<std::uint8_t>(message.stage), std::move(loads)}));
}

std::vector<std::byte> encodeWork(const load_message &message)
{
    json loads = json::array();
    for (const instance_load &each : message.loads) {
        loads.push_back(each.instance.value);
        loads.push_back(each.requests);
        loads.push_back(toMs(each.age));
        loads.push_back(toMs(each.work));
    }
    json samples = json::array();
    for (const route_samples &each : message.samples) {
        samples.push_back(each.route.value);
        samples.push_back(toMs(each.sum));
        samples.push_back(cborBytes(std::as_bytes(std::span(each.bins))));
    }
    json estimates = json::array();
    for (const shared_estimate &each : message.estimates) {
        estimates.push_back(each.route.value);
        estimates.push_back(toMs(each.work.mean));
        estimates.push_back(toMs(each.work.tail));
        estimates.push_back(each.weight);
    }
    return encodeCbor(json::array(
        {static_cast<std::uint8_t>(message.stage), std::move(loads), std::move(samples), std::move(estimates)}));
}

load_message decodeLoads(std::span<const std::byte> encoded, std::uint8_t version)
{
    const bool withWork = version == workVersion;
    const json value = parseCbor(encoded, maxMessageBytes);
    cbor_fields fields(value, "loads", withWork ? 4 : 2);
    load_message message;
    message.stage = fields.enumerator(load_stage::Published);
    const std::size_t width = withWork ? 4 : 3;
    const json &list = fields.array(maxLoads * width);
    cbor_fields loads(list, "loads", list.size() / width * width);
    for (std::size_t index = 0; index < list.size() / width; ++index) {
        instance_load each;
        each.instance.value = loads.integer<std::uint64_t>();
        each.requests = loads.integer<std::uint32_t>();
        each.age = std::chrono::milliseconds(loads.integer<std::uint32_t>());
        each.work = std::chrono::milliseconds(withWork ? loads.integer<std::uint32_t>() : 0);
        message.loads.push_back(each);
    }
    if (withWork) {
        message.samples = decodeSamples(fields.array(maxRoutes * 3));
        message.estimates = decodeEstimates(fields.array(maxRoutes * 4));
    }
    return message;
}

} // namespace guavafront
