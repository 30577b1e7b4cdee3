#ifndef TARRAGONSILL_PLATFORM_JSON_PARTS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_JSON_PARTS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <initializer_list>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// Splits JSON text into the texts of its parts without parsing them. A parser
/// rejects a whole text if any part of it cannot be read, such as a number out
/// of range; here, that part hides no other one.
namespace tarragonsill::Platform {

/// The texts of the members of an object. Names are as written, without their
/// quotes; of members with one name, the last one counts.
using JsonMembers = std::map<std::string_view, std::string_view>;

/// Returns no members if the text is not the text of an object.
JsonMembers SplitObject(std::string_view aText);
/// Returns nothing if the text is not the text of an array.
std::optional<std::vector<std::string_view>> SplitArray(std::string_view aText);

/// Returns the text of a member; an empty text if it is missing.
std::string_view MemberText(JsonMembers const& aMembers,
                            std::string_view aName);

/// Parses a text; an empty one gives null. Fails with `Malformed` if it cannot
/// be read or is nested more deeply than any object of the platform.
Result<nlohmann::json> ParseJson(std::string_view aText);

/// Returns an object with the named members, as far as they can be read.
nlohmann::json ReadMembers(JsonMembers const& aMembers,
                           std::initializer_list<char const*> aNames);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_JSON_PARTS_HPP_INCLUDED
