#include "control/control_cluster.h"

#include "daemon/control/replica_host.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// One of three voters, whose state machine needs time for each record and lags behind the log when the leader is lost.
/// The test plays one of the other two.
class lagging_voter_fixture
{
public:
    lagging_voter_fixture()
    {
        std::string pattern = m_folder.string();
        m_folder = mkdtemp(pattern.data());
        replica_store::bootstrap(m_folder, self, cluster, std::array{self, peer, vm_id{3}});
    }

    ~lagging_voter_fixture()
    {
        std::filesystem::remove_all(m_folder);
    }

    lagging_voter_fixture(const lagging_voter_fixture &) = delete;
    lagging_voter_fixture &operator=(const lagging_voter_fixture &) = delete;

    /// Runs the voter: it is sent all commands, loses the leader and is elected. Its first heartbeat is answered when
    /// its state machine holds all but the last commands that it knew to be committed. Ends when it has applied all.
    void electWhileApplying()
    {
        loop owner;
        replica_host host(owner, m_folder, self,
                          {.electionTimeout = milliseconds(100), .heartbeatInterval = milliseconds(20)},
                          callbacks(owner));
        m_host = &host;
        host.post(message_received{commandsOfTheLostLeader()});
        timer answers(owner, [this, &answers] {
            answerRequests();
            answers.arm(milliseconds(1));
        });
        answers.arm(milliseconds(1));
        owner.run();
    }

    static constexpr std::size_t commands = 60; ///< Commands of the lost leader, all acknowledged to their operators.
    static constexpr std::size_t knownCommitted = commands - 5; ///< Of these, how many the voter knew to be committed.
    std::size_t applied = 0; ///< Commands that the state machine holds.
    std::optional<std::size_t> appliedWhenConfirmed; ///< Commands that it held when the voter first reported that it
                                                     ///< holds all, while a quorum confirmed its leadership.

private:
    static constexpr vm_id self{1}; ///< Identity of the voter.
    static constexpr vm_id peer{2}; ///< Identity of the voter that the test plays.
    static constexpr cluster_id cluster{7}; ///< Cluster of both.
    static constexpr milliseconds applyTime{30}; ///< Longer than a slice.

    static replication_message commandsOfTheLostLeader()
    {
        append_request request{.previousIndex = {}, .previousTerm = {}, .commitIndex = {knownCommitted}, .records = {}};
        for (std::uint64_t index = 1; index <= commands; ++index) {
            request.records.push_back({{index}, {1}, command{{std::byte{1}}}});
        }
        return {cluster, vm_id{3}, self, {1}, 1, std::move(request)};
    }

    replica_host_callbacks callbacks(loop &owner)
    {
        replica_host_callbacks result;
        result.send = [this](const replication_message &message) {
            if (message.to == peer) {
                m_requests.push_back(message);
            }
        };
        result.apply = [this](const log_record &record) {
            if (std::holds_alternative<command>(record.content)) {
                std::this_thread::sleep_for(applyTime);
                ++applied;
            }
        };
        result.load = [](const log_snapshot &) {
        };
        result.encodeState = [] {
            return std::vector<std::byte>{};
        };
        result.appended = [](const proposal_appended &) {
        };
        result.refused = [](const proposal_refused &) {
        };
        result.roleChanged = [](const role_changed &) {
        };
        result.voteRefused = [](const vote_refused &) {
        };
        result.electionFailed = [](const election_failed &) {
        };
        result.quorumLost = [](const quorum_lost &) {
        };
        result.leaderLost = [](const leader_lost &) {
        };
        result.applied = [] {
        };
        result.flushed = [this, &owner] {
            if (!appliedWhenConfirmed && leadershipConfirmedAt(m_host->state())) {
                appliedWhenConfirmed = applied;
                owner.requestStop();
            }
        };
        result.failed = [] {
        };
        return result;
    }

    /// Answers as a voter that lacks the last records until the state machine has all but one that it knew of.
    void answerRequests()
    {
        const bool holdsAll = applied + 1 >= knownCommitted;
        for (const replication_message &request : std::exchange(m_requests, {})) {
            replication_message answer{cluster, peer, self, request.inTerm, request.heartbeatRound, vote_answer{}};
            if (const auto *vote = std::get_if<vote_request>(&request.body)) {
                answer.body = vote_answer{vote->preVote, true};
            } else {
                answer.body =
                    append_answer{holdsAll, holdsAll ? lastIndex(m_host->state().log) : log_index{knownCommitted}};
            }
            m_host->post(message_received{std::move(answer)});
        }
    }

    std::filesystem::path m_folder = std::filesystem::temp_directory_path() / "lagging_voter_XXXXXX"; ///< Its disk.
    replica_host *m_host = nullptr; ///< The voter while it runs.
    std::vector<replication_message> m_requests; ///< Its messages to the played voter that aren't answered yet.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(newly_elected_leader_test, lagging_voter_fixture)

// Guards against entry VMs that go on with withdrawn keys: a new leader stated as the newest revision one from before
// those that its predecessor had acknowledged, since its state machine lagged behind what it had just committed.
BOOST_AUTO_TEST_CASE(leadership_committedRecordsNotApplied_notConfirmedBeforeTheyAre)
{
    electWhileApplying();
    BOOST_REQUIRE(appliedWhenConfirmed);
    BOOST_TEST(*appliedWhenConfirmed == commands);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against operators who read an older configuration than was acknowledged to them: a new leader answered before
// it had committed and applied what its predecessor had acknowledged.
BOOST_AUTO_TEST_CASE(status_leaderAfterRestart_holdsWhatWasAcknowledged)
{
    constexpr std::uint64_t restarts = 5;
    control_cluster cluster(3);
    cluster.waitUntil([&cluster] {
        cluster.announceAll();
        return voterCount(cluster.statusOf(cluster.waitForLeader()).members) == 3;
    });
    for (std::uint64_t id = 1; id <= restarts; ++id) {
        const change_answer answer = cluster.submitToLeader(control_cluster::accountCreation(id, {id - 1}));
        BOOST_REQUIRE(answer.code == result_code::Ok);
        for (std::size_t vm = 0; vm < 3; ++vm) {
            cluster.stop(vm);
        }
        for (std::size_t vm = 0; vm < 3; ++vm) {
            cluster.start(vm);
        }
        control_status status;
        while (!status.leader) {
            for (std::size_t vm = 0; vm < 3 && !status.leader; ++vm) {
                status = cluster.statusOf(vm);
            }
        }
        BOOST_TEST(status.accepted->atRevision.value == id);
    }
}

} // namespace guavafront
