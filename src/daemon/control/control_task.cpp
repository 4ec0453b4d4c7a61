#include "daemon/control/control_task.h"

#include "wire/configuration_codec.h"

namespace guavafront
{

control_task::control_task(loop &owner, mailbox<control_message> &inbox, mailbox<configuration_message> &configurations)
    : m_configurations(configurations)
    , m_accepted(std::make_shared<const configuration>())
    , m_attachment(inbox, owner, [this](const control_message &message) {
        std::visit([this](const auto &each) { handle(each); }, message);
    })
{
}

void control_task::handle(const change_submitted &message)
{
    const change_answer answer = decide(m_log, makeProposal(message.author, message.request));
    if (m_accepted->current < m_log.value.current) {
        m_accepted = std::make_shared<const configuration>(m_log.value);
        m_configurations.post(configuration_accepted{m_accepted});
    }
    message.answer(answer);
}

void control_task::handle(const status_requested &message) const
{
    message.answer({.leader = true, .accepted = m_accepted});
}

} // namespace guavafront
