#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Whether a member must be given.
enum class member_presence : std::uint8_t { Optional, Required };

/// Throws coordination_error (SettingInvalid) with the path of the faulty value.
[[noreturn]] void refuseMember(const std::string &path, std::string_view text);

/// Value of a member of the asked type. Throws coordination_error (SettingInvalid).
void readMember(const std::string &path, const nlohmann::json &found, std::string &value);
void readMember(const std::string &path, const nlohmann::json &found, bool &value); ///< As above.
void readMember(const std::string &path, const nlohmann::json &found, std::uint64_t &value); ///< As above.
void readMember(const std::string &path, const nlohmann::json &found, nlohmann::json &value); ///< Takes any.

/// A list whose elements are all of one type.
template<class element>
void readMember(const std::string &path, const nlohmann::json &found, std::vector<element> &value)
{
    if (!found.is_array()) {
        refuseMember(path, "must be a list");
    }
    value.clear();
    for (std::size_t index = 0; index < found.size(); ++index) {
        readMember(path + "[" + std::to_string(index) + "]", found[index], value.emplace_back());
    }
}

/// Reads one JSON object member by member; what no member has asked for is refused.
class object_reader
{
public:
    /// Reads object, which outlives the reader. Throws coordination_error (SettingInvalid) when it is none.
    object_reader(std::string path, const nlohmann::json &object);

    /// Reads a member of any type that readMember() knows.
    template<class value_type>
    object_reader &member(std::string_view name, value_type &value,
                          member_presence presence = member_presence::Optional)
    {
        if (const nlohmann::json *found = find(name, presence)) {
            readMember(pathOf(name), *found, value);
        }
        return *this;
    }

    /// Throws coordination_error (SettingUnknown) when the object has a member that nobody asked for.
    void refuseUnknown() const;

private:
    const nlohmann::json *find(std::string_view name, member_presence presence);
    std::string pathOf(std::string_view name) const;

    const std::string m_path; ///< Of the object.
    const nlohmann::json &m_object; ///< Not owned.
    std::set<std::string, std::less<>> m_requestedNames; ///< Names asked for.
};

} // namespace guavafront
