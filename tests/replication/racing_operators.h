#pragma once

#include "replication/simulated_cluster.h"

#include "wire/configuration_codec.h"

#include <guavafront/coordination/configuration/validation.h>

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace guavafront
{

/// Operators that submit changes to a simulated cluster at the same time and resend a request after a lost answer.
/// Every answer is checked against the earlier ones; a contradiction throws.
class racing_operators
{
public:
    /// Starts the given number of operators. Each change creates an account and sets its order of kinds of requests
    /// this many times, with 2 KB in each. The cluster must outlive them.
    racing_operators(simulated_cluster &cluster, std::size_t count, std::size_t kindOrders = 0)
        : m_kindOrders(kindOrders)
        , m_cluster(cluster)
    {
        for (std::size_t kind = 0; kind < maxKindsPerAccount; ++kind) {
            const std::string number = std::to_string(kind);
            m_kinds.push_back(number + std::string(maxNameBytes - number.size(), 'k'));
        }
        for (std::size_t i = 0; i < count; ++i) {
            startRequest(i);
        }
    }

    std::function<void(revision)> onAccepted; ///< Called with the revision of each accepted change; may be empty.

    /// Lets the operators make no further changes. Requests without an answer are still resent.
    void stop()
    {
        m_isStopped = true;
    }

    /// Returns the accepted changes so far: the name of the account that each created, by revision.
    const std::map<revision, std::string> &accepted() const
    {
        return m_accepted;
    }

    /// Throws unless the state machine's configuration holds each accepted change at its revision.
    static void checkNothingLost(const std::map<revision, std::string> &accepted, const change_log &log)
    {
        for (const auto &[at, name] : accepted) {
            const bool there = log.current.atRevision >= at && at.value >= 1 && log.current.accounts.size() >= at.value
                               && log.current.accounts[at.value - 1].name == name;
            if (!there) {
                throw std::runtime_error("invariant violated: an accepted change was lost");
            }
        }
    }

private:
    struct request {
        change_proposal proposal; ///< Proposal that is sent until the operator gets an answer.
        revision highestAccepted; ///< Highest revision that was accepted before the request was first sent.
    };

    void startRequest(std::size_t operatorIndex)
    {
        if (m_isStopped) {
            return;
        }
        const std::uint64_t id = ++m_lastId;
        const std::string name = "a" + std::to_string(id);
        std::vector<change> changes{create_account{name}};
        changes.insert(changes.end(), m_kindOrders, set_kind_order{name, m_kinds});
        request started;
        started.proposal =
            makeProposal({operator_role::Operator, {}}, {{1, id}, m_knownRevisions[operatorIndex], changes});
        started.highestAccepted = m_accepted.empty() ? revision{} : m_accepted.rbegin()->first;
        m_requests[id] = started;
        send(operatorIndex, id);
    }

    void send(std::size_t operatorIndex, std::uint64_t id)
    {
        const std::vector<vm_id> vms = m_cluster.currentVms();
        const vm_id leading = m_cluster.leader();
        const bool guess = leading.value == 0 || m_cluster.random(4) == 0;
        const vm_id target = guess ? vms[m_cluster.random(vms.size())] : leading;
        const bool lost = m_cluster.random(5) == 0;
        m_cluster.propose(target, m_requests[id].proposal,
                          [this, operatorIndex, id, lost](std::uint64_t, const auto &answer) {
                              if (answer && isDecision(answer->code)) {
                                  handleAnswer(operatorIndex, id, *answer, lost);
                              }
                          });
        m_cluster.after(std::chrono::milliseconds(400), [this, operatorIndex, id] {
            if (m_requests.contains(id)) {
                send(operatorIndex, id);
            }
        });
    }

    static bool isDecision(result_code code)
    {
        return code == result_code::Ok || code == result_code::RevisionConflict;
    }

    void handleAnswer(std::size_t operatorIndex, std::uint64_t id, const change_answer &answer, bool lost)
    {
        const auto [first, isFirst] = m_answers.emplace(id, answer);
        if (!isFirst && first->second != answer) {
            throw std::runtime_error("invariant violated: a resent request got a different answer");
        }
        const auto open = m_requests.find(id);
        if (open != m_requests.end() && answer.atRevision < open->second.highestAccepted) {
            throw std::runtime_error(
                "invariant violated: the answer has an earlier revision than one accepted before the request");
        }
        if (answer.code == result_code::Ok) {
            const std::string name = "a" + std::to_string(id);
            if (!m_accepted.emplace(answer.atRevision, name).second && m_accepted[answer.atRevision] != name) {
                throw std::runtime_error("invariant violated: two changes were accepted at the same revision");
            }
            if (onAccepted) {
                onAccepted(answer.atRevision);
            }
        }
        if (lost || open == m_requests.end()) {
            // After a lost answer the operator resends; a request that was answered before needs nothing more.
            return;
        }
        m_requests.erase(open);
        m_knownRevisions[operatorIndex] = std::max(m_knownRevisions[operatorIndex], answer.atRevision);
        m_cluster.after(std::chrono::milliseconds(20 + m_cluster.random(200)),
                        [this, operatorIndex] { startRequest(operatorIndex); });
    }

    std::size_t m_kindOrders; ///< Number of times that each change sets the order of kinds.
    std::vector<std::string> m_kinds; ///< The longest order of kinds that an account may have.
    bool m_isStopped = false; ///< No further changes are made.
    simulated_cluster &m_cluster; ///< Cluster that the operators use; not owned.
    std::map<std::uint64_t, request> m_requests; ///< Requests without an answer, by request ID.
    std::map<std::uint64_t, change_answer> m_answers; ///< First answer to each request, also if it was lost.
    std::map<revision, std::string> m_accepted; ///< Name of the account that each accepted revision created.
    std::map<std::size_t, revision> m_knownRevisions; ///< Latest revision in an answer, by operator.
    std::uint64_t m_lastId = 0; ///< Latest request ID in use.
};

} // namespace guavafront
