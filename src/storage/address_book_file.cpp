#include "storage/address_book_file.h"

#include "settings/endpoint.h"
#include "storage/file.h"
#include "storage/journal.h"
#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <filesystem>

namespace guavafront
{

namespace
{

constexpr const char *bookName = "addresses";
constexpr const char *temporaryBookName = "addresses.new";
constexpr std::uint64_t bookFormatVersion = 1;
constexpr std::size_t maxAddressBytes = 64;
constexpr std::size_t maxBookBytes = maxBookAddresses * (maxAddressBytes + 2) + 64;

std::vector<std::byte> encodeBook(const address_book &book)
{
    return encodeCbor(nlohmann::json::array({bookFormatVersion, book.addresses}));
}

address_book decodeBook(std::span<const std::byte> encoded)
{
    const nlohmann::json value = parseCbor(encoded, maxBookBytes);
    cbor_fields fields(value, "address book", 2);
    fields.checkVersion(bookFormatVersion);
    const nlohmann::json &list = fields.array(maxBookAddresses);
    cbor_fields addresses(list, "addresses", list.size());
    address_book book;
    for (std::size_t index = 0; index < list.size(); ++index) {
        book.addresses.push_back(addresses.text(maxAddressBytes));
        if (!parseEndpoint(book.addresses.back())) {
            throw coordination_error(result_code::MessageMalformed, "address book: an address isn't one");
        }
    }
    return book;
}

} // namespace

address_book readAddressBook(const std::string &folder)
{
    const std::string path = folder + "/" + bookName;
    std::error_code ignored;
    if (!std::filesystem::exists(path, ignored)) {
        return {};
    }
    try {
        const std::vector<std::byte> bytes = file(path).readAll();
        const journal_content content = readJournal(bytes);
        if (content.frames.size() != 1) {
            throw coordination_error(result_code::StoreCorrupt, "not one frame");
        }
        return decodeBook(content.frames.front());
    } catch (const coordination_error &fault) {
        LOG(WARNING) << "the address book isn't used: " << fault.what();
        return {};
    }
}

void writeAddressBook(const std::string &folder, const address_book &book)
{
    const std::span header = std::as_bytes(std::span(journalHeader));
    std::vector<std::byte> content(header.begin(), header.end());
    const std::vector<std::byte> frame = encodeFrame(encodeBook(book));
    content.insert(content.end(), frame.begin(), frame.end());
    const std::string temporary = folder + "/" + temporaryBookName;
    file fresh(temporary);
    fresh.resize(0);
    fresh.writeAt(0, content);
    fresh.sync();
    renameDurably(temporary, folder + "/" + bookName, folder);
}

} // namespace guavafront
