#pragma once

#include "processor_time.h"

#include "daemon/control/control_task.h"
#include "wire/configuration_codec.h"

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace guavafront
{

/// Control tasks of several VMs in one process, each with its own thread, mailbox and data folder. Messages between VMs
/// are posted directly into the receiver's mailbox.
class control_cluster
{
public:
    /// Starts the given number of VMs. VM 0 creates the cluster, and the others join it.
    explicit control_cluster(std::size_t vms, const replica_options &options = {},
                             duration revokedRetention = std::chrono::seconds(60))
        : m_options(options)
        , m_revokedRetention(revokedRetention)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "control_cluster_XXXXXX").string();
        m_folder = mkdtemp(pattern.data());
        replica_store::bootstrap(folderOf(0), {1}, {7}, std::array{vm_id{1}});
        for (std::size_t vm = 0; vm < vms; ++vm) {
            m_vms.push_back(std::make_unique<control_vm>());
        }
        for (std::size_t vm = 0; vm < vms; ++vm) {
            start(vm);
        }
    }

    ~control_cluster()
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            stop(vm);
        }
        std::filesystem::remove_all(m_folder);
    }

    control_cluster(const control_cluster &) = delete;
    control_cluster &operator=(const control_cluster &) = delete;

    /// Starts the task of a VM on its data folder.
    void start(std::size_t vm)
    {
        control_vm &target = *m_vms[vm];
        const vm_id self = replica_store(folderOf(vm), {++m_lastIdentity}).self();
        target.eventLoop = std::make_unique<loop>();
        {
            const std::lock_guard lock(m_mutex);
            target.self = self;
        }
        target.thread = std::thread([this, vm, &target] {
            control_task_options options{.dataFolder = folderOf(vm), .freshIdentity = {99}, .replica = m_options};
            options.revokedRetention = m_revokedRetention;
            options.send = [this](vm_id to, envelope message) {
                deliver(to, std::move(message));
            };
            options.onLeadershipProof = [this](const leadership_proof &) {
                notifyActivity();
            };
            const control_task task(*target.eventLoop, std::move(options), target.inbox, target.configurations,
                                    target.counters);
            target.eventLoop->run();
        });
        announceAll();
    }

    /// Starts another VM with an empty data folder and returns its index.
    std::size_t addVm()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_vms.push_back(std::make_unique<control_vm>());
        }
        start(m_vms.size() - 1);
        return m_vms.size() - 1;
    }

    /// Stops the task of a VM; what it has synced to its data folder stays.
    void stop(std::size_t vm)
    {
        control_vm &target = *m_vms[vm];
        if (target.thread.joinable()) {
            target.eventLoop->requestStop();
            target.thread.join();
            const std::lock_guard lock(m_mutex);
            target.self = {};
        }
    }

    /// Removes the data folder of a stopped VM.
    void loseDisk(std::size_t vm)
    {
        std::filesystem::remove_all(folderOf(vm));
    }

    /// Identity of a VM; 0 while it is stopped.
    vm_id identityOf(std::size_t vm) const
    {
        return m_vms[vm]->self;
    }

    /// Metrics of a VM.
    daemon_counters &countersOf(std::size_t vm)
    {
        return m_vms[vm]->counters;
    }

    /// Number of configurations that a VM's task has posted to the configuration task, which isn't there to take them.
    std::size_t publishedCountOf(std::size_t vm) const
    {
        return m_vms[vm]->configurations.rejected();
    }

    /// Mailbox of a VM's task.
    mailbox<control_message> &inboxOf(std::size_t vm)
    {
        return m_vms[vm]->inbox;
    }

    /// Submits a change to a VM and waits for the answer.
    change_answer submit(std::size_t vm, const change_request &request)
    {
        auto promise = std::make_shared<std::promise<change_answer>>();
        std::future<change_answer> answer = promise->get_future();
        m_vms[vm]->inbox.post(
            change_submitted{{operator_role::Operator, {}}, request, [promise](const change_answer &given) {
                                 promise->set_value(given);
                             }});
        return waitForAnswer(answer);
    }

    /// Submits a change to the leader, again after each change of leader, and returns the answer.
    change_answer submitToLeader(const change_request &request)
    {
        change_answer answer{result_code::NotLeader, {}, {}};
        while (answer.code == result_code::NotLeader || answer.code == result_code::ChangeOutcomeUnknown) {
            answer = submit(waitForLeader(), request);
        }
        return answer;
    }

    /// Submits a change to the leader as a task does that encodes it itself, again after each change of leader, and
    /// returns the answer. Throws what encodeNewProposal() throws.
    change_answer submitEncodedToLeader(const change_request &request)
    {
        const std::vector<std::byte> proposal = encodeNewProposal({operator_role::Operator, {}}, request);
        change_answer answer{result_code::NotLeader, {}, {}};
        while (answer.code == result_code::NotLeader || answer.code == result_code::ChangeOutcomeUnknown) {
            auto promise = std::make_shared<std::promise<change_answer>>();
            std::future<change_answer> given = promise->get_future();
            m_vms[waitForLeader()]->inbox.post(
                encoded_change_submitted{request.id, proposal, [promise](const change_answer &outcome) {
                                             promise->set_value(outcome);
                                         }});
            answer = waitForAnswer(given);
        }
        return answer;
    }

    /// Processor time in ms that the thread of a running VM's task has used.
    double processorMillisecondsOf(std::size_t vm)
    {
        return threadMilliseconds(m_vms[vm]->thread.native_handle());
    }

    /// Submits a replacement to the leader and waits for the answer.
    change_answer replace(vm_id old, vm_id fresh)
    {
        auto promise = std::make_shared<std::promise<change_answer>>();
        std::future<change_answer> answer = promise->get_future();
        m_vms[waitForLeader()]->inbox.post(replacement_submitted{old, fresh, [promise](const change_answer &given) {
                                                                     promise->set_value(given);
                                                                 }});
        return waitForAnswer(answer);
    }

    /// Status of a running VM.
    control_status statusOf(std::size_t vm)
    {
        auto promise = std::make_shared<std::promise<control_status>>();
        std::future<control_status> answer = promise->get_future();
        m_vms[vm]->inbox.post(status_requested{[promise](const control_status &given) {
            promise->set_value(given);
        }});
        return waitForAnswer(answer);
    }

    /// Status of the leader after a quorum has confirmed it. Unlike statusOf(), which a leader answers that was
    /// replaced but doesn't know it yet, it contains every acknowledged change.
    control_status confirmedStatus()
    {
        control_status status;
        waitUntil([this, &status] {
            auto promise = std::make_shared<std::promise<control_status>>();
            std::future<control_status> answer = promise->get_future();
            m_vms[waitForLeader()]->inbox.post(confirmed_status_requested{[promise](const control_status &given) {
                promise->set_value(given);
            }});
            status = waitForAnswer(answer);
            return status.leader;
        });
        return status;
    }

    /// Waits until a VM leads, and returns its index.
    std::size_t waitForLeader()
    {
        std::size_t leader = 0;
        waitUntil([this, &leader] {
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                if (m_vms[vm]->thread.joinable() && statusOf(vm).leader) {
                    leader = vm;
                    return true;
                }
            }
            return false;
        });
        return leader;
    }

    /// Waits until the members are the given VMs, all of them voters.
    void waitForVoters(const std::vector<vm_id> &expected)
    {
        waitUntil([this, &expected] {
            const membership members = statusOf(waitForLeader()).members;
            return members.members.size() == expected.size()
                   && std::ranges::all_of(expected, [&members](vm_id vm) { return isVoter(members, vm); });
        });
    }

    /// Waits until the condition holds; it is checked after each message between VMs and each proof of leadership.
    void waitUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + conditionTimeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                throw std::runtime_error("a condition did not become true in time");
            }
            std::unique_lock lock(m_mutex);
            const std::uint64_t seen = m_activityCount;
            if (!m_activity.wait_for(lock, messageTimeout, [this, seen] { return m_activityCount != seen; })) {
                throw std::runtime_error("the control VMs exchanged no message for too long");
            }
        }
    }

    /// Posts the list of live VMs to every VM, as the peers task does.
    void announceAll()
    {
        std::vector<vm_id> live;
        for (const std::unique_ptr<control_vm> &vm : m_vms) {
            if (vm->self.value != 0) {
                live.push_back(vm->self);
            }
        }
        for (const std::unique_ptr<control_vm> &vm : m_vms) {
            vm->inbox.post(live_control_vms_changed{live});
        }
    }

    /// Number of messages sent between VMs so far.
    std::uint64_t messageCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }

    /// Total size in bytes of the bodies of the messages sent between VMs so far.
    std::uint64_t messageBytes()
    {
        const std::lock_guard lock(m_mutex);
        return m_sentBytes;
    }

    /// Returns a request with the given ID that creates an account.
    static change_request accountCreation(std::uint64_t id, revision expected)
    {
        return {{1, id}, expected, {create_account{"a" + std::to_string(id)}}};
    }

private:
    static constexpr std::chrono::seconds messageTimeout{20}; ///< Limit for one answer or message.
    static constexpr std::chrono::seconds conditionTimeout{60}; ///< Limit for a condition.

    struct control_vm {
        mailbox<control_message> inbox{65'536}; ///< Inbox of the task.
        mailbox<configuration_message> configurations{0}; ///< Receives accepted configurations, and rejects them.
        daemon_counters counters; ///< Metrics of the task.
        std::unique_ptr<loop> eventLoop; ///< Loop of the task.
        std::thread thread; ///< Thread of the task; joinable while the VM runs.
        vm_id self; ///< Identity of the VM; 0 while it is stopped.
    };

    template<class value>
    static value waitForAnswer(std::future<value> &answer)
    {
        if (answer.wait_for(messageTimeout) != std::future_status::ready) {
            throw std::runtime_error("a control VM did not answer in time");
        }
        return answer.get();
    }

    std::string folderOf(std::size_t vm) const
    {
        return m_folder / std::to_string(vm);
    }

    void deliver(vm_id to, envelope message)
    {
        const vm_id from = decodeReplicationMessage(message.body).from;
        const std::lock_guard lock(m_mutex);
        ++m_sent;
        m_sentBytes += message.body.size();
        for (const std::unique_ptr<control_vm> &vm : m_vms) {
            if (vm->self == to) {
                vm->inbox.post(replication_from_peer{from, message});
            }
        }
        ++m_activityCount;
        m_activity.notify_all();
    }

    void notifyActivity()
    {
        const std::lock_guard lock(m_mutex);
        ++m_activityCount;
        m_activity.notify_all();
    }

    replica_options m_options; ///< Options of each VM's replica.
    duration m_revokedRetention; ///< See control_task_options.
    std::filesystem::path m_folder; ///< Parent of the data folders.
    std::vector<std::unique_ptr<control_vm>> m_vms; ///< All VMs.
    std::uint64_t m_lastIdentity = 100; ///< Last identity offered to a VM with an empty data folder.
    std::mutex m_mutex; ///< Guards m_activityCount, the totals and the VMs' identities.
    std::condition_variable m_activity; ///< Signalled when m_activityCount increases.
    std::uint64_t m_sent = 0; ///< Number of messages between VMs.
    std::uint64_t m_sentBytes = 0; ///< Total size of these messages' bodies in bytes.
    std::uint64_t m_activityCount = 0; ///< Number of messages and proofs of leadership.
};

} // namespace guavafront
