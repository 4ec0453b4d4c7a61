#pragma once

#include <guavafront/coordination/replication/replica.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <variant>
#include <vector>

namespace guavafront
{

/// Replica 1 of the voters 1, 2 and 3; the tests feed it events and inspect its effects.
struct replica_fixture {
    replica_options options{.self = {1}};
    stored_state disk; ///< State of the disk from which replica 1 starts.
    instant now{std::chrono::seconds(100)};
    replica self;
    std::vector<replica_effect> effects; ///< Effects of the last step.

    replica_fixture()
    {
        disk.cluster = {7};
        for (std::uint64_t id = 1; id <= 3; ++id) {
            disk.log.snapshot.members.members.push_back({{id}, voting_role::Voter, {}});
        }
        restart();
    }

    void restart()
    {
        self = restore(options, disk, now, 5);
    }

    void run(const replica_event &event)
    {
        effects.clear();
        step(self, event, now, 5, effects);
    }

    template<class body>
    void receive(std::uint64_t from, std::uint64_t inTerm, const body &content)
    {
        run(message_received{{{7}, {from}, {1}, {inTerm}, self.heartbeatRound, content}});
    }

    /// Performs the writes of the last step on the disk and reports the sync.
    void sync()
    {
        std::uint64_t sequence = 0;
        for (const replica_effect &effect : effects) {
            std::visit(
                [this](const auto &write) {
                    if constexpr (requires { applyWrite(disk, write); }) {
                        applyWrite(disk, write);
                    }
                },
                effect);
            if (const auto *asked = std::get_if<sync_writes>(&effect)) {
                sequence = asked->sequence;
            }
        }
        run(writes_synced{sequence});
    }

    /// Makes replica 1 the leader of the next term by the vote of replica 2. The no-op record of the term isn't
    /// committed yet.
    void elect()
    {
        now = self.electionDeadline;
        run(timer_fired{});
        receive(2, self.currentTerm.value + 1, vote_answer{true, true});
        sync();
        receive(2, self.currentTerm.value, vote_answer{false, true});
        sync();
        BOOST_REQUIRE(self.role == replica_role::Leader);
    }

    /// Adds voter 4 and makes replica 1 the leader by the votes of replicas 2 and 3.
    void electAmongFour()
    {
        disk.log.snapshot.members.members.push_back({{4}, voting_role::Voter, {}});
        options.targetVoters = 15; // More than there are members, so that all vote.
        restart();
        now = self.electionDeadline;
        run(timer_fired{});
        receive(2, self.currentTerm.value + 1, vote_answer{true, true});
        receive(3, self.currentTerm.value + 1, vote_answer{true, true});
        sync();
        receive(2, self.currentTerm.value, vote_answer{false, true});
        receive(3, self.currentTerm.value, vote_answer{false, true});
        sync();
    }

    /// Delivers answers of replicas 2 and 3 that confirm the whole log.
    void confirmAll()
    {
        const log_index last = lastIndex(self.log);
        receive(2, self.currentTerm.value, append_answer{true, last});
        receive(3, self.currentTerm.value, append_answer{true, last});
    }

    /// Returns the position of the first effect of a type, or the number of effects when there is none.
    template<class effect_type>
    std::size_t positionOf() const
    {
        const auto found = std::ranges::find_if(
            effects, [](const replica_effect &effect) { return std::holds_alternative<effect_type>(effect); });
        return static_cast<std::size_t>(found - effects.begin());
    }

    template<class effect_type>
    const effect_type *find() const
    {
        const std::size_t position = positionOf<effect_type>();
        return position == effects.size() ? nullptr : &std::get<effect_type>(effects[position]);
    }

    /// Returns the body of the first message that the last step sent.
    template<class body>
    body sent() const
    {
        BOOST_REQUIRE(find<send_message>() != nullptr);
        return std::get<body>(find<send_message>()->message.body);
    }

    static log_record record(std::uint64_t index, std::uint64_t inTerm)
    {
        return {{index}, {inTerm}, no_op{}};
    }
};

} // namespace guavafront
