#include "fleet/child_process.h"

#include <boost/process.hpp>

#include <cstdio>
#include <signal.h>

namespace guavafront
{

namespace bp = boost::process;

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
    return !m_handle->child.valid() || m_handle->child.wait_for(limit);
}

int child_process::id() const
{
    return m_handle->child.id();
}

void child_process::kill()
{
    if (running()) {
        std::error_code ignored;
        m_handle->child.terminate(ignored);
        m_handle->child.wait(ignored);
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
