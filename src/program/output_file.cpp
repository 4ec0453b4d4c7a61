#include "program/output_file.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <fstream>

namespace guavafront
{

void writeOutputFile(const std::string &path, std::string_view text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    if (!file.flush()) {
        throw coordination_error(result_code::FileUnreadable, path + ": can't be written");
    }
}

} // namespace guavafront
