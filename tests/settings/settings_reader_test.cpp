#include "settings/settings_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace guavafront
{

namespace
{

/// Complete settings file of an entry VM, with a comment in it.
struct settings_fixture {
    std::string text = R"({
        // An entry VM of the first data centre.
        "vm": {"name": "entry-1", "dataCentre": "gdl-a", "roles": ["entry"]},
        "listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:7000", "announcements": "127.0.0.1:8081",
                   "metrics": "[::1]:9100"},
        "peers": {"seeds": ["127.0.0.1:7001", "127.0.0.1:7002"]},
        "secrets": {"fleetSecretFile": "fleet.secret", "serviceTokenFile": "service.token"},
        "entry": {"maxBodyBytes": 4096}
    })";

    /// Reads the settings file after replacing the first occurrence of a passage in it.
    settings_result readWith(const std::string &passage, const std::string &replacement) const
    {
        std::string changed = text;
        changed.replace(changed.find(passage), passage.size(), replacement);
        return readSettings(changed);
    }

    static bool hasFault(const settings_result &result, result_code code, std::string_view path)
    {
        return std::ranges::any_of(
            result.faults, [&](const setting_fault &fault) { return fault.code == code && fault.path == path; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(settings_reader_test, settings_fixture)

BOOST_AUTO_TEST_CASE(readSettings_wholeFile_valuesAndDefaults)
{
    const settings_result result = readSettings(text);
    BOOST_TEST(result.faults.empty());
    BOOST_TEST(result.values.vm.dataCentre == "gdl-a");
    BOOST_TEST(result.values.peers.seeds.size() == 2U);
    BOOST_TEST(result.values.listen.metrics.ip == "::1");
    BOOST_TEST(result.values.entry.maxBodyBytes == 4096U);
    BOOST_TEST(result.values.entry.maxConnections == 10'000U);
}

BOOST_AUTO_TEST_CASE(readSettings_unknownName_refusedWithPath)
{
    const settings_result result = readWith("maxBodyBytes", "maxBodyByte");
    BOOST_TEST(hasFault(result, result_code::SettingUnknown, "entry.maxBodyByte"));
}

BOOST_AUTO_TEST_CASE(readSettings_numberOutOfRange_refusedWithPath)
{
    BOOST_TEST(hasFault(readWith("4096", "0"), result_code::SettingInvalid, "entry.maxBodyBytes"));
    BOOST_TEST(hasFault(readWith("4096", "\"4 KB\""), result_code::SettingInvalid, "entry.maxBodyBytes"));
}

BOOST_AUTO_TEST_CASE(readSettings_voters_oddFromThreeToFifteen)
{
    const auto readVoters = [this](const std::string &voters) {
        return readWith("\"entry\": {", "\"control\": {\"voters\": " + voters + "}, \"entry\": {");
    };
    BOOST_TEST(readSettings(text).values.control.voters == 3U);
    BOOST_TEST(readVoters("5").values.control.voters == 5U);
    BOOST_TEST(readVoters("15").values.control.voters == 15U);
    for (const char *wrong : {"1", "2", "4", "6", "14", "16", "17", "3.5", "\"3\""}) {
        BOOST_TEST(hasFault(readVoters(wrong), result_code::SettingInvalid, "control.voters"), wrong);
    }
}

BOOST_AUTO_TEST_CASE(readSettings_nameTooLong_refusedWithPath)
{
    BOOST_TEST(readWith("entry-1", std::string(256, 'x')).faults.empty());
    BOOST_TEST(hasFault(readWith("entry-1", std::string(257, 'x')), result_code::SettingInvalid, "vm.name"));
}

BOOST_AUTO_TEST_CASE(readSettings_hostName_refusedWithPath)
{
    const settings_result result = readWith("127.0.0.1:7002", "control.example:7002");
    BOOST_TEST(hasFault(result, result_code::SettingInvalid, "peers.seeds[1]"));
}

BOOST_AUTO_TEST_CASE(readSettings_severalFaults_allReported)
{
    const settings_result result = readWith("\"roles\": [\"entry\"]", "\"roles\": [\"entry\", \"boss\"], \"x\": 1");
    BOOST_TEST(hasFault(result, result_code::SettingInvalid, "vm.roles[1]"));
    BOOST_TEST(hasFault(result, result_code::SettingUnknown, "vm.x"));
}

BOOST_AUTO_TEST_CASE(readSettings_controlWithoutDataFolder_refused)
{
    const settings_result result = readWith("[\"entry\"]", "[\"control\"]");
    BOOST_TEST(hasFault(result, result_code::SettingInvalid, "vm.dataFolder"));
}

BOOST_AUTO_TEST_CASE(showSettings_readBack_sameValues)
{
    const settings_result first = readSettings(text);
    const std::string shown = showSettings(first.values);
    const settings_result second = readSettings(shown);
    BOOST_TEST(second.faults.empty());
    BOOST_TEST(second.values.entry.maxBodyBytes == first.values.entry.maxBodyBytes);
    BOOST_TEST(toText(second.values.listen.metrics) == "[::1]:9100");
}

BOOST_AUTO_TEST_CASE(readSecretFile_readableByOthers_refused)
{
    const std::string path = "settings_test_exposed.secret";
    std::ofstream(path) << "0123456789abcdef\n";
    chmod(path.c_str(), 0644);
    BOOST_CHECK_EXCEPTION(readSecretFile(path), coordination_error,
                          [](const coordination_error &error) { return error.code() == result_code::FileExposed; });
    chmod(path.c_str(), 0600);
    BOOST_TEST(readSecretFile(path) == "0123456789abcdef");
    std::remove(path.c_str());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
