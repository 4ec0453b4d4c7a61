#pragma once

#include <guavafront/coordination/membership/address_book.h>

#include <string>

namespace guavafront
{

/// Reads the address book of a data folder. A book that is missing, damaged or unreadable counts as empty: it only
/// helps to find other VMs sooner, or when no seed answers.
address_book readAddressBook(const std::string &folder);

/// Replaces the address book of a data folder: writes and syncs a new file, renames it and syncs the folder. Throws
/// coordination_error (StoreFull, FileUnreadable); the former book then stays.
void writeAddressBook(const std::string &folder, const address_book &book);

} // namespace guavafront
