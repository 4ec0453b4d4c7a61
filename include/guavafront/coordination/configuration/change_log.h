#pragma once

#include <guavafront/coordination/configuration/change.h>
#include <guavafront/coordination/core/result_code.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace guavafront
{

/// Role of an operator token: what its holder may change.
enum class operator_role : std::uint8_t {
    Operator, ///< May change everything.
    AccountManager, ///< May only change the order of kinds of one account.
};

/// Author of a change request, as authenticated by its token.
struct change_author {
    operator_role role = operator_role::AccountManager; ///< Role of the token.
    std::string accountName; ///< Account of an account manager; empty for an operator.
    bool operator==(const change_author &) const = default; ///< Memberwise equality.
};

/// A change request as it enters the replicated log.
struct change_proposal {
    change_author author; ///< Author of the request.
    change_request request; ///< The requested changes.
    std::uint64_t contentDigest = 0; ///< Digest of author and request; tells a resend from a reused request ID.
    bool operator==(const change_proposal &) const = default; ///< Memberwise equality.
};

/// Answer to a change request.
struct change_answer {
    result_code code = result_code::Ok; ///< Ok when the request was accepted, else the reason of the refusal.
    revision atRevision; ///< Revision that the request created, or the one in force when it was refused.
    std::string text; ///< Explanation for the operator; empty when a new revision was created.
    bool operator==(const change_answer &) const = default; ///< Memberwise equality.
};

/// Answer that is kept so that a resend of the request gets it again.
struct remembered_answer {
    change_id id; ///< Request ID.
    std::uint64_t contentDigest = 0; ///< Content digest of the first request with this ID.
    change_answer answer; ///< Answer to that request.
    bool operator==(const remembered_answer &) const = default; ///< Memberwise equality.
};

/// Maximum number of answers kept for resends: five days at 800 changes a day. A resend that is older expects a
/// revision that is no longer in force, so it is refused as a conflict and never applied twice.
constexpr std::size_t maxRememberedAnswers = 4096;

/// State machine that the control VMs replicate: the configuration and the answers given. Its state depends only on the
/// sequence of proposals in the replicated log.
struct change_log {
    configuration current; ///< Configuration in force.
    std::deque<remembered_answer> answers; ///< Answers, oldest first, at most maxRememberedAnswers.
    bool operator==(const change_log &) const = default; ///< Memberwise equality.
};

/// Whether the author's role allows every change of the request.
bool isAuthorized(const change_author &author, const change_request &request);

/// The first answer to a request with this ID; null when there was none or it is no longer kept.
const remembered_answer *findAnswer(const change_log &log, const change_id &id);

/// Accepts or refuses the next proposal of the replicated log. Never throws for an invalid request: a refusal is an
/// answer too and is remembered like an acceptance, so that every replica and every resend get the same one.
change_answer decide(change_log &log, const change_proposal &proposal);

} // namespace guavafront
