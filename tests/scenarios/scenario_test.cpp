#include "scenarios/scenario_reader.h"
#include "scenarios/scenario_run.h"
#include "settings/settings_reader.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>

namespace guavafront
{

namespace
{

/// Registers a test case for each file under cases/ and each combination of its table before the tests begin.
struct scenario_cases {
    scenario_cases()
    {
        std::vector<std::filesystem::path> files;
        for (const auto &each : std::filesystem::directory_iterator(GUAVAFRONT_SOURCE_DIR "/tests/scenarios/cases")) {
            files.push_back(each.path());
        }
        std::ranges::sort(files);
        for (const std::filesystem::path &file : files) {
            add(file);
        }
    }

    static void add(const std::filesystem::path &file)
    {
        for (const scenario &each : readScenarios(file.stem().string(), readFile(file.string()))) {
            std::string name = each.name;
            std::ranges::replace(name, '/', '_'); // Boost.Test uses "/" to separate suite names.
            auto &root = boost::unit_test::framework::current_auto_test_suite();
            root.add(boost::unit_test::make_test_case([each] { runScenario(each); }, name, __FILE__, __LINE__));
        }
    }
};

const scenario_cases registered;

} // namespace

} // namespace guavafront
