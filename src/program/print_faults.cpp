#include "program/print_faults.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <cstdio>

namespace guavafront
{

void requireNoFaults(const std::string &file, std::span<const setting_fault> faults)
{
    for (const setting_fault &fault : faults) {
        std::fprintf(stderr, "%u %s: %s %s\n", static_cast<unsigned>(fault.code),
                     std::string(describe(fault.code).name).c_str(), fault.path.c_str(), fault.text.c_str());
    }
    if (!faults.empty()) {
        throw coordination_error(result_code::SettingInvalid, file + ": " + std::to_string(faults.size()) + " faults");
    }
}

} // namespace guavafront
