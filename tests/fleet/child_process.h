#pragma once

#include <guavafront/coordination/core/time.h>

#include <memory>
#include <string>
#include <vector>

namespace guavafront
{

/// A process that a test has started; killed when the object goes.
class child_process
{
public:
    /// Starts it; both outputs go to logFile, at its end.
    child_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &folder,
                  const std::string &logFile);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    /// Sends a signal.
    void signal(int number) const;

    /// Waits for its end; false when it runs on after the limit.
    bool waitForExit(duration limit);

    /// Kills it and waits.
    void kill();

    /// Its process id.
    int id() const;

    /// Whether it runs.
    bool running();

    /// Exit status once it has ended by itself.
    int exitStatus() const;

private:
    struct handle;
    std::unique_ptr<handle> m_handle; ///< The library's process.
};

} // namespace guavafront
