#include "scenarios/object_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <utility>

namespace guavafront
{

void refuseMember(const std::string &path, std::string_view text)
{
    throw coordination_error(result_code::SettingInvalid, path + ": " + std::string(text));
}

void readMember(const std::string &path, const nlohmann::json &found, std::string &value)
{
    if (!found.is_string()) {
        refuseMember(path, "must be text");
    }
    value = found.get<std::string>();
}

void readMember(const std::string &path, const nlohmann::json &found, bool &value)
{
    if (!found.is_boolean()) {
        refuseMember(path, "must be true or false");
    }
    value = found.get<bool>();
}

void readMember(const std::string &path, const nlohmann::json &found, std::uint64_t &value)
{
    if (!found.is_number_unsigned()) {
        refuseMember(path, "must be a whole number from 0");
    }
    value = found.get<std::uint64_t>();
}

void readMember(const std::string & /*path*/, const nlohmann::json &found, nlohmann::json &value)
{
    value = found;
}

object_reader::object_reader(std::string path, const nlohmann::json &object)
    : m_path(std::move(path))
    , m_object(object)
{
    if (!object.is_object()) {
        refuseMember(m_path, "must be an object");
    }
}

void object_reader::refuseUnknown() const
{
    for (const auto &[name, value] : m_object.items()) {
        if (!m_requestedNames.contains(name)) {
            throw coordination_error(result_code::SettingUnknown, pathOf(name) + ": no such name");
        }
    }
}

const nlohmann::json *object_reader::find(std::string_view name, member_presence presence)
{
    m_requestedNames.emplace(name);
    const auto found = m_object.find(name);
    if (found != m_object.end()) {
        return &*found;
    }
    if (presence == member_presence::Required) {
        refuseMember(pathOf(name), "is required");
    }
    return nullptr;
}

std::string object_reader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

} // namespace guavafront
