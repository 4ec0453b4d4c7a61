#include "coordination/claims/claim_store.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr std::size_t percent = 100;

bool hasRoomFor(const claims_home &state, account_id owner)
{
    const auto found = state.accountRecordCounts.find(owner);
    const std::size_t used = found == state.accountRecordCounts.end() ? 0 : found->second;
    return state.recordCount < state.options.maxRecords
           && used * percent < state.options.maxRecords * state.options.maxAccountPercent;
}

void dropAnswer(claims_home &state, claim_record &record)
{
    if (record.outcome && record.outcome->answerKept) {
        state.keptAnswerBytes -= record.outcome->answer.size();
        record.outcome->answerKept = false;
        record.outcome->answer = {};
    }
}

void dropOldAnswers(claims_home &state)
{
    while (state.keptAnswerBytes > state.options.maxTotalAnswerBytes && !state.keptAnswers.empty()) {
        const claim_key oldest = state.keptAnswers.front();
        state.keptAnswers.pop_front();
        home_shard &shard = shardFor(state, oldest);
        const auto found = shard.records.find(oldest);
        if (found != shard.records.end()) {
            dropAnswer(state, found->second);
        }
    }
}

/// Removes queue entries whose record or answer is gone, once they can make up more than half of a queue. Records that
/// are erased before they expire leave such entries behind.
void compactQueues(claims_home &state)
{
    constexpr std::size_t slack = 1024;
    const std::size_t limit = 2 * state.recordCount + slack;
    if (state.expiry.size() > limit) {
        std::erase_if(state.expiry, [&state](const auto &entry) {
            const home_shard &shard = shardFor(state, entry.second);
            const auto found = shard.records.find(entry.second);
            return found == shard.records.end() || found->second.expires != entry.first;
        });
    }
    if (state.keptAnswers.size() > limit) {
        std::erase_if(state.keptAnswers, [&state](const claim_key &key) {
            const home_shard &shard = shardFor(state, key);
            const auto found = shard.records.find(key);
            return found == shard.records.end() || !found->second.outcome || !found->second.outcome->answerKept;
        });
    }
}

void addHolder(claim_record &record, const holder_report &report, instant now)
{
    const auto known = std::ranges::find(record.holders, report.attempt, &claim_holder::attempt);
    if (known == record.holders.end()) {
        record.holders.push_back(
            {.attempt = report.attempt, .digest = report.digest, .deadline = now + report.remaining});
    }
}

claim_record *insertRecord(claims_home &state, const claim_key &key, instant expires)
{
    claim_record &record = shardFor(state, key).records[key];
    record.expires = expires;
    state.expiry.emplace_back(expires, key);
    ++state.recordCount;
    ++state.accountRecordCounts[key.owner];
    compactQueues(state);
    return &record;
}

} // namespace

home_shard &shardFor(claims_home &state, const claim_key &key)
{
    return state.shards[shardOf(key)];
}

claim_record *findRecord(home_shard &shard, const claim_key &key, instant now)
{
    const auto found = shard.records.find(key);
    return found == shard.records.end() || found->second.expires <= now ? nullptr : &found->second;
}

claim_record *makeRecord(claims_home &state, const claim_key &key, instant expires, instant now)
{
    home_shard &shard = shardFor(state, key);
    if (claim_record *known = findRecord(shard, key, now)) {
        return known;
    }
    eraseRecord(state, shard, key);
    return hasRoomFor(state, key.owner) ? insertRecord(state, key, expires) : nullptr;
}

void eraseRecord(claims_home &state, home_shard &shard, const claim_key &key)
{
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) {
        return;
    }
    dropAnswer(state, found->second);
    shard.records.erase(found);
    --state.recordCount;
    const auto count = state.accountRecordCounts.find(key.owner);
    if (--count->second == 0) {
        state.accountRecordCounts.erase(count);
    }
}

void storeOutcome(claims_home &state, const claim_key &key, claim_record &record, const claim_outcome &outcome)
{
    record.holders.clear();
    record.holders.shrink_to_fit();
    if (record.outcome) {
        return;
    }
    record.outcome = outcome;
    if (!outcome.answerKept) {
        return;
    }
    state.keptAnswerBytes += outcome.answer.size();
    if (outcome.answer.size() > state.options.maxAnswerBytes) {
        dropAnswer(state, record);
        return;
    }
    state.keptAnswers.push_back(key);
    dropOldAnswers(state);
}

void expireRecords(claims_home &state, instant now)
{
    while (!state.expiry.empty() && state.expiry.front().first <= now) {
        const claim_key key = state.expiry.front().second;
        state.expiry.pop_front();
        home_shard &shard = shardFor(state, key);
        const auto found = shard.records.find(key);
        if (found != shard.records.end() && found->second.expires <= now) {
            eraseRecord(state, shard, key);
        }
    }
}

void mergeRecord(claims_home &state, const shard_record &report, instant now)
{
    // A record of another home is stored even when the limits are exceeded: without it, a key could run twice.
    home_shard &shard = shardFor(state, report.key);
    claim_record *record = findRecord(shard, report.key, now);
    if (!record) {
        eraseRecord(state, shard, report.key);
        record = insertRecord(state, report.key, now + report.retention);
    }
    if (report.outcome) {
        storeOutcome(state, report.key, *record, *report.outcome);
    }
    if (!record->outcome) {
        for (const holder_report &holder : report.holders) {
            addHolder(*record, holder, now);
        }
    }
}

std::vector<holder_report> reportHolders(std::span<const claim_holder> holders, instant now)
{
    std::vector<holder_report> reports;
    for (const claim_holder &each : holders) {
        reports.push_back({.attempt = each.attempt,
                           .digest = each.digest,
                           .remaining = std::max(each.deadline - now, duration::zero())});
    }
    return reports;
}

} // namespace guavafront
