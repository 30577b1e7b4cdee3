#ifndef TARRAGONSILL_PLATFORM_RECORDS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_RECORDS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_routing.hpp"

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

/// Decodes the content of stored objects. Members may be missing or have any
/// type, since the writers of the objects are not trusted.
namespace tarragonsill::Platform {

/// Returns a member of an object; null if it is missing.
nlohmann::json const& Member(nlohmann::json const& aObject, char const* aName);

// Each of these returns nothing if the member is missing or has another type.
std::optional<std::string> Text(nlohmann::json const& aObject,
                                char const* aName);
std::optional<std::uint64_t> Unsigned(nlohmann::json const& aObject,
                                      char const* aName);
std::optional<double> Number(nlohmann::json const& aObject, char const* aName);

/// Returns a Boolean member; false if it is missing or has another type.
bool Flag(nlohmann::json const& aObject, char const* aName);

/// Decodes a registration. Fails with `Malformed`; the text names the field.
Result<UpstreamRegistration> DecodeUpstream(std::string const& aName,
                                            nlohmann::json const& aSpec);
/// Decodes a configuration. Fails with `Malformed`.
Result<RoutingConfiguration> DecodeConfiguration(nlohmann::json const& aSpec);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_RECORDS_HPP_INCLUDED
