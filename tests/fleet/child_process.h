#pragma once

#include <guavafront/coordination/core/time.h>

#include <memory>
#include <string>
#include <vector>

namespace guavafront
{

/// A process that a test has started. The destructor kills it and waits for its end.
class child_process
{
public:
    /// Starts program in folder. Its standard output and standard error are appended to logFile.
    child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &folder,
                  const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Sends the signal with this number to the process.
    void signal(int number) const;

    /// Waits at most limit for the process to end; returns false when it still runs then.
    bool waitForExit(duration limit);

    /// Kills the process with SIGKILL and waits for its end; does nothing when it has already ended.
    void kill();

    /// Process ID that the system gave it.
    int id() const;

    /// Whether the process has been started and has not ended.
    bool running();

    /// Exit status of the process; valid only once it has ended by itself.
    int exitStatus() const;

private:
    struct handle;
    std::unique_ptr<handle> m_handle; ///< The Boost.Process object, kept out of this header.
};

} // namespace guavafront
