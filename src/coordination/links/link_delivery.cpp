#include <guavafront/coordination/links/link_delivery.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Weight of an answer in the smoothed time of answers, as in RFC 6298.
constexpr int answerWeight = 8;
/// An answer is overdue after this many times the usual time.
constexpr int overdueFactor = 4;

duration answerLimit(const link_delivery &state)
{
    const duration usual = std::clamp(state.answerTime * overdueFactor, state.minAnswerTime, state.maxAnswerTime);
    const auto transfer = std::chrono::microseconds(std::chrono::seconds(1)) * state.bytesAsked;
    return usual + transfer / state.slowBytesPerSecond;
}

void makeQuestionDue(link_delivery &state, instant at)
{
    state.questionDue = std::min(state.questionDue, std::max(at, state.lastQuestion + state.questionInterval));
}

} // namespace

void expectAnswerTime(link_delivery &state, duration expected)
{
    state.answerTime = expected;
}

void extendAnswerTime(link_delivery &state, instant now)
{
    if (isSilent(state, now) && !std::exchange(state.isExtended, true)) {
        state.askedAt = now - answerLimit(state) + state.minAnswerTime;
    }
}

void keepSent(link_delivery &state, std::vector<std::byte> bytes, delivery_urgency urgency, instant now)
{
    state.keptBytes += bytes.size();
    state.kept.push_back({++state.lastSent, std::move(bytes)});
    while (state.keptBytes > state.maxKeptBytes && state.kept.size() > 1) {
        state.keptBytes -= state.kept.front().bytes.size();
        state.kept.pop_front();
    }
    const bool atOnce = urgency == delivery_urgency::AtOnce || state.keptBytes > state.maxKeptBytes / 2;
    makeQuestionDue(state, atOnce ? now : now + state.relaxedDelay);
}

void countSent(link_delivery &state, std::size_t bytes, instant now)
{
    ++state.lastSent;
    state.unkeptBytes += bytes;
    makeQuestionDue(state, now);
}

void requestAnswer(link_delivery &state, instant now)
{
    makeQuestionDue(state, now);
}

std::optional<std::uint64_t> takeQuestion(link_delivery &state, instant now)
{
    if (state.askedAt || now < state.questionDue) {
        return std::nullopt;
    }
    state.askedAt = now;
    state.isExtended = false;
    state.bytesAsked = state.keptBytes + std::exchange(state.unkeptBytes, 0);
    state.lastQuestion = now;
    state.questionDue = instant::max();
    return state.lastSent;
}

void handleAnswer(link_delivery &state, std::uint64_t number, instant now)
{
    if (!state.askedAt || number > state.lastSent) {
        return;
    }
    const duration taken = now - *state.askedAt;
    state.answerTime =
        state.answerTime == duration{} ? taken : state.answerTime + (taken - state.answerTime) / answerWeight;
    state.askedAt.reset();
    dropArrived(state, number);
    if (state.kept.empty() && state.unkeptBytes == 0) {
        state.questionDue = instant::max();
    } else {
        makeQuestionDue(state, now + state.relaxedDelay);
    }
}

bool isSilent(const link_delivery &state, instant now)
{
    return state.askedAt && now - *state.askedAt >= answerLimit(state);
}

instant nextDeliveryCheck(const link_delivery &state)
{
    return state.askedAt ? *state.askedAt + answerLimit(state) : state.questionDue;
}

bool hasUnconfirmed(const link_delivery &state)
{
    return !state.kept.empty() || state.unkeptBytes > 0 || (state.askedAt && state.bytesAsked > 0);
}

void dropArrived(link_delivery &state, std::uint64_t number)
{
    while (!state.kept.empty() && state.kept.front().number <= number) {
        state.keptBytes -= state.kept.front().bytes.size();
        state.kept.pop_front();
    }
}

} // namespace guavafront
