#ifndef TARRAGONSILL_PLATFORM_RECORDS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_RECORDS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_routing.hpp"

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

/// Decodes the content of stored objects. Every reader bears members that are
/// missing or have another type.
namespace tarragonsill::Platform {

/// A member of an object; null if there is none.
nlohmann::json const& Member(nlohmann::json const& aObject, char const* aName);
std::optional<std::string> Text(nlohmann::json const& aObject,
                                char const* aName);
std::optional<std::uint64_t> Unsigned(nlohmann::json const& aObject,
                                      char const* aName);
std::optional<double> Number(nlohmann::json const& aObject, char const* aName);
/// A truth value; false if it is missing.
bool Flag(nlohmann::json const& aObject, char const* aName);

/// Reasons are `Malformed` and name the field.
Result<UpstreamRegistration> DecodeUpstream(std::string const& aName,
                                            nlohmann::json const& aSpec);
Result<RoutingConfiguration> DecodeConfiguration(nlohmann::json const& aSpec);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_RECORDS_HPP_INCLUDED
