#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Owns the descriptor of an open file. Every operation throws coordination_error on failure: StoreFull when the disk,
/// the quota or the file size limit is exhausted, FileUnreadable for any other error.
class file
{
public:
    /// Opens the file for reading and writing. A missing file is created with read and write permission for its owner
    /// only.
    explicit file(std::string path);
    ~file();
    file(const file &) = delete;
    file &operator=(const file &) = delete;
    file(file &&other) noexcept;
    file &operator=(file &&other) noexcept;

    /// Reads the whole content of the file.
    std::vector<std::byte> readAll() const;

    /// Writes all bytes, starting at an offset in bytes from the start of the file.
    void writeAt(std::uint64_t offset, std::span<const std::byte> bytes);

    /// Truncates or extends the file to a size in bytes.
    void resize(std::uint64_t size);

    /// Flushes content and size to the disk (fsync) and returns when this is done.
    void sync();

    /// Tries to take an exclusive lock (flock) on the file without waiting. Returns false when it is already locked
    /// through another open file. The lock lasts until this file is closed.
    bool tryLock();

private:
    [[noreturn]] void throwError(const char *operation) const;

    std::string m_path; ///< Path of the file, for error messages.
    int m_descriptor = -1; ///< Owned file descriptor, or -1 when there is none.
};

/// Renames a file and syncs the folder that contains both names, so that the rename survives a power failure. Throws
/// coordination_error (StoreFull, FileUnreadable).
void renameDurably(const std::string &from, const std::string &to, const std::string &folder);

} // namespace guavafront
