#pragma once

#include <guavafront/coordination/configuration/change.h>
#include <guavafront/coordination/core/result_code.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace guavafront
{

/// What a token allows its holder to change.
enum class operator_role : std::uint8_t {
    Operator, ///< Everything.
    AccountManager, ///< The order of kinds of one account.
};

/// Who asks for a change.
struct change_author {
    operator_role role = operator_role::AccountManager; ///< Role of the token.
    std::string accountName; ///< The account manager's own account; empty for an operator.
    bool operator==(const change_author &) const = default; ///< Memberwise equality.
};

/// A change request as it enters the replicated log.
struct change_proposal {
    change_author author; ///< Who asks.
    change_request request; ///< What is asked.
    std::uint64_t contentDigest = 0; ///< Digest of author and request: tells a resend from a reused request ID.
    bool operator==(const change_proposal &) const = default; ///< Memberwise equality.
};

/// Answer to a change request.
struct change_answer {
    result_code code = result_code::Ok; ///< Ok when accepted.
    revision atRevision; ///< The revision the change made, or the one in force when it was refused.
    std::string text; ///< For the operator; empty when accepted.
    bool operator==(const change_answer &) const = default; ///< Memberwise equality.
};

/// An answer that a resend gets again.
struct remembered_answer {
    change_id id; ///< Request ID.
    std::uint64_t contentDigest = 0; ///< Of the first request with this ID.
    change_answer answer; ///< The first answer.
    bool operator==(const remembered_answer &) const = default; ///< Memberwise equality.
};

/// Answers that are kept for resends: five days at 800 changes a day. A resend that is older names a revision which is
/// no longer in force, so that it is refused, never applied twice.
constexpr std::size_t maxRememberedAnswers = 4096;

/// The state that the control VMs replicate: the configuration and the answers given. A pure function of the log.
struct change_log {
    configuration current; ///< In force.
    std::deque<remembered_answer> answers; ///< Oldest first, at most maxRememberedAnswers.
    bool operator==(const change_log &) const = default; ///< Memberwise equality.
};

/// Whether the author's role allows every change of the request.
bool isAuthorized(const change_author &author, const change_request &request);

/// The first answer to a request with this ID; null when there was none or it was forgotten.
const remembered_answer *findAnswer(const change_log &log, const change_id &id);

/// Accepts or refuses a proposal, in the log's order. Never throws for a bad request: a refusal is an answer, and is
/// remembered like an acceptance, so that every replica and every resend see the same one.
change_answer decide(change_log &log, const change_proposal &proposal);

} // namespace guavafront
