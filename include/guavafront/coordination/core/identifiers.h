#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace guavafront
{

/// Number with a distinct type for each tag, so that identifiers of different things can't be mixed up.
template<class tag, class number = std::uint64_t>
struct strong_id {
    number value{}; ///< Raw number; 0 means "none".

    /// Orders by the raw number.
    auto operator<=>(const strong_id &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// Identity of a VM. Control VMs keep theirs in the data folder, entry VMs draw a new one whenever they start.
using vm_id = strong_id<struct vm_tag>;
/// One run of an upstream instance, drawn by the instance at its start.
using instance_id = strong_id<struct instance_tag>;
/// Client account; assigned by the control VMs when it is created, never reused.
using account_id = strong_id<struct account_tag, std::uint32_t>;
/// Route; assigned by the control VMs when it is created, never reused.
using route_id = strong_id<struct route_tag, std::uint32_t>;
/// Revision of the accepted configuration; never decreases.
using revision = strong_id<struct revision_tag>;
/// Request, as numbered by one entry VM.
using exchange_id = strong_id<struct exchange_tag>;
/// Election term of the control VMs; never decreases.
using term = strong_id<struct term_tag>;
/// Position in the replicated log; the first record has index 1.
using log_index = strong_id<struct log_index_tag>;
/// Request ID that an operator's client gives to a change request; a resend carries the same one.
struct change_id {
    std::uint64_t high{}; ///< Upper half of 128 random bits.
    std::uint64_t low{}; ///< Lower half of 128 random bits.

    /// Orders by value.
    auto operator<=>(const change_id &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

} // namespace guavafront

/// Hash of a strong identifier: the hash of its raw number.
template<class tag, class number>
struct std::hash<guavafront::strong_id<tag, number>> {
    /// Hash of the raw number.
    std::size_t operator()(const guavafront::strong_id<tag, number> &id) const noexcept
    {
        return std::hash<number>()(id.value);
    }
};
