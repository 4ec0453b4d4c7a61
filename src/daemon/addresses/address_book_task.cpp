#include "daemon/addresses/address_book_task.h"

#include "storage/address_book_file.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <utility>

namespace guavafront
{

namespace
{

/// Minimum time between two writes.
constexpr duration minWriteInterval = std::chrono::seconds(1);
/// Time until a write that failed is tried again.
constexpr duration retryInterval = std::chrono::seconds(5);

} // namespace

address_book_task::address_book_task(loop &owner, std::string dataFolder, mailbox<live_addresses_changed> &inbox)
    : m_dataFolder(std::move(dataFolder))
    , m_stored(readAddressBook(m_dataFolder))
    , m_pause(owner,
              [this] {
                  m_paused = false;
                  update();
              })
    , m_attachment(inbox, owner, [this](live_addresses_changed message) { handle(std::move(message)); })
{
}

void address_book_task::handle(live_addresses_changed message)
{
    m_live = std::move(message.addresses);
    update();
}

/// Writes the book if it lacks a live VM; during a pause it is looked at again at the end of that.
void address_book_task::update()
{
    std::optional<address_book> updated = m_paused ? std::nullopt : updatedBook(m_stored, m_live);
    if (!updated) {
        return;
    }
    m_paused = true;
    m_pause.arm(minWriteInterval);
    try {
        writeAddressBook(m_dataFolder, *updated);
        m_stored = std::move(*updated);
    } catch (const coordination_error &fault) {
        m_pause.arm(retryInterval);
        LOG(WARNING) << "the address book can't be written: " << fault.what();
    }
}

} // namespace guavafront
