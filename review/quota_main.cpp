// Holds processes to a share of a core each until it gets SIGTERM. Usage: quota SHARE PROCESS_ID...
#include "platform_fleet/processor_quota.h"

#include <csignal>
#include <cstdlib>
#include <vector>

int main(int argumentCount, char **arguments)
{
    constexpr int firstProcess = 2;
    if (argumentCount <= firstProcess) {
        return EXIT_FAILURE;
    }
    sigset_t awaited{};
    sigemptyset(&awaited);
    sigaddset(&awaited, SIGTERM);
    sigprocmask(SIG_BLOCK, &awaited, nullptr);
    std::vector<int> processes;
    for (int index = firstProcess; index < argumentCount; ++index) {
        processes.push_back(std::atoi(arguments[index]));
    }
    const guavafront::processor_quota quota(processes, std::strtod(arguments[1], nullptr));
    int received = 0;
    sigwait(&awaited, &received);
    return EXIT_SUCCESS;
}
