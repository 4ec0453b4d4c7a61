#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavafront
{

/// Encoded message that was sent and isn't known to have arrived.
struct kept_message {
    std::uint64_t number = 0; ///< Number on its link; the first message has number 1.
    std::vector<std::byte> bytes; ///< Message as it was sent.
};

/// How soon the arrival of a message must be known.
enum class delivery_urgency : std::uint8_t {
    AtOnce, ///< The receiver must act on the message within seconds.
    Relaxed, ///< A later message replaces the contents, or its loss is repaired by other means.
};

/// Delivery of the messages of one link, in both directions. The sender asks the receiver now and then which messages
/// have arrived, and keeps the others. An answer that is overdue shows that the link has gone silent.
struct link_delivery {
    /// Least time between two questions.
    duration questionInterval = std::chrono::milliseconds(250);
    /// Longest time for which relaxed messages wait for a question.
    duration relaxedDelay = std::chrono::seconds(1);
    /// Bounds of the time that an answer may take, besides that of the bytes in flight.
    duration minAnswerTime = std::chrono::milliseconds(400);
    duration maxAnswerTime = std::chrono::milliseconds(1500);
    /// Rate at which a slow connection still carries the bytes in flight.
    std::size_t slowBytesPerSecond = 131'072;
    /// Kept messages take up at most this many bytes, and the oldest ones are dropped beyond. The newest is always
    /// kept.
    std::size_t maxKeptBytes = 1'048'576;

    std::uint64_t lastSent = 0; ///< Number of the last message sent.
    std::uint64_t lastReceived = 0; ///< Number of the last message received.
    std::deque<kept_message> kept; ///< Messages that aren't known to have arrived, oldest first.
    std::size_t keptBytes = 0; ///< Size of the kept messages.
    std::size_t unkeptBytes = 0; ///< Size of the messages that were sent and not kept since the last question.
    std::optional<instant> askedAt; ///< Time of the question that isn't answered; empty if all are.
    std::size_t bytesAsked = 0; ///< Bytes that the answer to the open question has to wait for.
    instant lastQuestion{}; ///< Time of the last question.
    instant questionDue = instant::max(); ///< Time of the next question, if none is open.
    bool isExtended = false; ///< The open question was given more time by extendAnswerTime().
    duration answerTime{}; ///< Smoothed time that answers take.
};

/// Time that the first answer is expected to take, from the link's handshake. A peer that is late then is late to
/// answer, too.
void expectAnswerTime(link_delivery &state, duration expected);

/// Gives an overdue answer minAnswerTime more, once: this VM was late to look, and the answer may wait to be read.
void extendAnswerTime(link_delivery &state, instant now);

/// Counts and keeps a message that is being sent.
void keepSent(link_delivery &state, std::vector<std::byte> bytes, delivery_urgency urgency, instant now);

/// Counts a message that is being sent and isn't kept, since its sender repeats what is lost. A question becomes due as
/// for a kept one, so that a silent link shows.
void countSent(link_delivery &state, std::size_t bytes, instant now);

/// Makes a question due as soon as the interval allows, though nothing is kept.
void requestAnswer(link_delivery &state, instant now);

/// Returns the number to ask about if a question is due. The caller sends it after all messages sent so far.
std::optional<std::uint64_t> takeQuestion(link_delivery &state, instant now);

/// Handles the answer to the question about a number: all messages up to it have arrived.
void handleAnswer(link_delivery &state, std::uint64_t number, instant now);

/// Whether the open question is overdue.
bool isSilent(const link_delivery &state, instant now);

/// Time at which a question or the end of the wait for an answer is due; instant::max() if neither is.
instant nextDeliveryCheck(const link_delivery &state);

/// Whether counted messages, kept or not, aren't known to have arrived.
bool hasUnconfirmed(const link_delivery &state);

/// Drops the kept messages up to a number, which have arrived.
void dropArrived(link_delivery &state, std::uint64_t number);

} // namespace guavafront
