#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Open file with errors as coordination_error: StoreFull when no space is left, else FileUnreadable.
class file
{
public:
    /// Opens, and creates, the file for reading and writing; readable by its owner only.
    explicit file(std::string path);
    ~file();
    file(const file &) = delete;
    file &operator=(const file &) = delete;
    file(file &&other) noexcept;
    file &operator=(file &&other) noexcept;

    /// The whole content.
    std::vector<std::byte> readAll() const;

    /// Writes all bytes at the offset.
    void writeAt(std::uint64_t offset, std::span<const std::byte> bytes);

    /// Cuts or extends to the size.
    void resize(std::uint64_t size);

    /// Returns once content and size are on the disk.
    void sync();

    /// Takes the lock that one process at a time can hold; false when another one holds it.
    bool tryLock();

private:
    [[noreturn]] void throwError(const char *operation) const;

    std::string m_path; ///< For errors.
    int m_descriptor = -1; ///< Owned.
};

/// Renames within a folder and syncs the folder; afterwards the new name is on the disk.
void renameDurably(const std::string &from, const std::string &to, const std::string &folder);

} // namespace guavafront
