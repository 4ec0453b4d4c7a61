#include "storage/file.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace guavafront
{

namespace
{

/// Throws the coordination_error that belongs to the current errno.
[[noreturn]] void throwFileError(const std::string &path, const char *operation)
{
    const int error = errno;
    const bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
    throw coordination_error(full ? result_code::StoreFull : result_code::FileUnreadable,
                             std::string(operation) + " " + path + ": " + std::strerror(error));
}

} // namespace

file::file(std::string path)
    : m_path(std::move(path))
    , m_descriptor(::open(m_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR))
{
    if (m_descriptor < 0) {
        throwError("open");
    }
}

file::~file()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

file::file(file &&other) noexcept
    : m_path(std::move(other.m_path))
    , m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

file &file::operator=(file &&other) noexcept
{
    std::swap(m_path, other.m_path);
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

std::vector<std::byte> file::readAll() const
{
    struct stat status {
    };
    if (::fstat(m_descriptor, &status) != 0) {
        throwError("stat");
    }
    std::vector<std::byte> content(static_cast<std::size_t>(status.st_size));
    std::size_t done = 0;
    while (done < content.size()) {
        const ssize_t count =
            ::pread(m_descriptor, content.data() + done, content.size() - done, static_cast<off_t>(done));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            throwError("read");
        }
        done += static_cast<std::size_t>(count);
    }
    return content;
}

void file::writeAt(std::uint64_t offset, std::span<const std::byte> bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::pwrite(m_descriptor, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            throwError("write");
        }
        offset += static_cast<std::uint64_t>(count);
        bytes = bytes.subspan(static_cast<std::size_t>(count));
    }
}

void file::resize(std::uint64_t size)
{
    if (::ftruncate(m_descriptor, static_cast<off_t>(size)) != 0) {
        throwError("truncate");
    }
}

void file::sync()
{
    if (::fsync(m_descriptor) != 0) {
        throwError("sync");
    }
}

bool file::tryLock()
{
    if (::flock(m_descriptor, LOCK_EX | LOCK_NB) == 0) {
        return true;
    }
    if (errno != EWOULDBLOCK) {
        throwError("lock");
    }
    return false;
}

void file::throwError(const char *operation) const
{
    throwFileError(m_path, operation);
}

void renameDurably(const std::string &from, const std::string &to, const std::string &folder)
{
    if (std::rename(from.c_str(), to.c_str()) != 0) {
        throwFileError(to, "rename");
    }
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        throwFileError(folder, "open");
    }
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (!synced) {
        throwFileError(folder, "sync");
    }
}

} // namespace guavafront
