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

/// Whether a JSON object must contain a member.
enum class member_presence : std::uint8_t { Optional, Required };

/// Throws coordination_error (SettingInvalid) with the text "PATH: TEXT".
[[noreturn]] void refuseMember(const std::string &path, std::string_view text);

/// Converts a JSON value to the type of value: text, true or false, or an unsigned integer. The path names the value in
/// errors. Throws coordination_error (SettingInvalid) when the JSON value has another type.
void readMember(const std::string &path, const nlohmann::json &found, std::string &value);
void readMember(const std::string &path, const nlohmann::json &found, bool &value);
void readMember(const std::string &path, const nlohmann::json &found, std::uint64_t &value);

/// Copies a JSON value of any type.
void readMember(const std::string &path, const nlohmann::json &found, nlohmann::json &value);

/// Reads a JSON array whose elements are all of one type. Throws coordination_error (SettingInvalid) for a value that
/// is not an array or an element of another type.
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

/// Reads the members of one JSON object by name and detects members that were not asked for.
class object_reader
{
public:
    /// The path names the object in errors; the object must outlive the reader. Throws coordination_error
    /// (SettingInvalid) when the value is not a JSON object.
    object_reader(std::string path, const nlohmann::json &object);

    /// Reads a member of any type that has an overload of readMember(); leaves value unchanged when an optional member
    /// is missing. Throws coordination_error (SettingInvalid) for a missing required member or a value of another type.
    template<class value_type>
    object_reader &member(std::string_view name, value_type &value,
                          member_presence presence = member_presence::Optional)
    {
        if (const nlohmann::json *found = find(name, presence)) {
            readMember(pathOf(name), *found, value);
        }
        return *this;
    }

    /// Throws coordination_error (SettingUnknown) when the object has a member that was not read with member().
    void refuseUnknown() const;

private:
    const nlohmann::json *find(std::string_view name, member_presence presence);
    std::string pathOf(std::string_view name) const;

    const std::string m_path; ///< Path of the object in its document; empty for the document itself.
    const nlohmann::json &m_object; ///< Object that is read; not owned.
    std::set<std::string, std::less<>> m_requestedNames; ///< Names passed to member().
};

} // namespace guavafront
