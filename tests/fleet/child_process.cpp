#include "fleet/child_process.h"

#include <boost/process.hpp>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <poll.h>
#include <signal.h>
#include <sys/syscall.h>
#include <system_error>
#include <unistd.h>

namespace guavafront
{

namespace bp = boost::process;

namespace
{

/// Waits until a process that hasn't been reaped has ended, at most to the deadline.
void waitForEnd(int processId, std::chrono::steady_clock::time_point deadline)
{
    const auto descriptor = static_cast<int>(syscall(SYS_pidfd_open, processId, 0));
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot wait for a process");
    }
    pollfd process{.fd = descriptor, .events = POLLIN, .revents = 0};
    int ready = 0;
    do { // A signal may interrupt the wait.
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        ready = poll(&process, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
    } while (ready < 0 && errno == EINTR);
    close(descriptor);
}

} // namespace

struct child_process::handle {
    bp::child child;
};

child_process::child_process(const std::string &program, const std::vector<std::string> &arguments,
                             const std::string &folder, const std::string &logFile)
{
    std::FILE *log = std::fopen(logFile.c_str(), "a");
    m_handle = std::make_unique<handle>(handle{bp::child(program, bp::args(arguments), bp::start_dir(folder),
                                                         bp::std_in<bp::null, bp::std_out> log, bp::std_err > log)});
    std::fclose(log);
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    ::kill(m_handle->child.id(), number);
}

bool child_process::waitForExit(duration limit)
{
    // Not child::wait_for(): it sleeps to the limit when the process ends before it waits for the signal.
    if (running()) {
        waitForEnd(id(), std::chrono::steady_clock::now() + limit);
    }
    return !running();
}

int child_process::id() const
{
    return m_handle->child.id();
}

void child_process::kill()
{
    // Not child::terminate(): a wait() after it returns before the process has ended and its ports are free.
    if (running()) {
        signal(SIGKILL);
        while (!waitForExit(std::chrono::seconds(1))) {
        }
    }
}

bool child_process::running()
{
    std::error_code ignored;
    return m_handle->child.valid() && m_handle->child.running(ignored);
}

int child_process::exitStatus() const
{
    return m_handle->child.exit_code();
}

} // namespace guavafront
