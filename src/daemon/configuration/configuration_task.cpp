#include "daemon/configuration/configuration_task.h"

#include "wire/cbor_fields.h"
#include "wire/configuration_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <cstring>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration askPeriod = std::chrono::milliseconds(500);

/// Body of a question: the revision that the asking VM holds. Any other body is a whole configuration.
constexpr std::size_t questionBytes = sizeof(std::uint64_t);

std::vector<std::byte> encodeQuestion(revision held)
{
    std::vector<std::byte> body(questionBytes);
    std::memcpy(body.data(), &held.value, questionBytes);
    return body;
}

revision decodeQuestion(std::span<const std::byte> body)
{
    revision held;
    std::memcpy(&held.value, body.data(), questionBytes);
    return held;
}

} // namespace

configuration_task::configuration_task(loop &owner, mailbox<configuration_message> &inbox,
                                       mailbox<peers_message> &peers, configuration_subscriber subscriber)
    : m_peers(peers)
    , m_subscriber(std::move(subscriber))
    , m_current(std::make_shared<const configuration>())
    , m_askTimer(owner, [this] { ask(); })
    , m_attachment(inbox, owner, [this](const configuration_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
    ask();
}

void configuration_task::handle(const configuration_from_peer &message)
{
    const std::span<const std::byte> body = message.message.body;
    if (body.size() == questionBytes) {
        if (decodeQuestion(body) < m_current->current) {
            m_peers.post(
                send_to_vm{message.from, {.kind = channel::Configuration, .body = encodeConfiguration(*m_current)}});
        }
        return;
    }
    try {
        take(std::make_shared<const configuration>(decodeConfiguration(body)));
    } catch (const coordination_error &error) {
        LOG(WARNING) << "configuration from a peer refused: " << describe(error.code()).name;
    }
}

void configuration_task::handle(const configuration_accepted &message)
{
    take(message.value);
}

void configuration_task::handle(const configuration_wanted & /*message*/) const
{
    if (m_current->current.value > 0) {
        m_subscriber(m_current);
    }
}

void configuration_task::ask()
{
    m_peers.post(send_to_seeds{{.kind = channel::Configuration, .body = encodeQuestion(m_current->current)}});
    m_askTimer.arm(askPeriod);
}

void configuration_task::take(std::shared_ptr<const configuration> value)
{
    if (value->current <= m_current->current) {
        return;
    }
    m_current = std::move(value);
    LOG(INFO) << "configuration revision " << m_current->current.value << " in force";
    m_subscriber(m_current);
}

} // namespace guavafront
