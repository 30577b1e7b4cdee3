#ifndef TARRAGONSILL_PLATFORM_SETTINGS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_SETTINGS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_file_errors.hpp"
#include "tarragonsill/state/tarragonsill_node_settings.hpp"

#include <optional>
#include <string_view>

/// Reads the settings file of a VM (TOML) in the platform's format.
namespace tarragonsill::Platform {

/// The environment variable with the path of the settings file.
constexpr char const* kSettingsVariable = "TARRAGONSILL_SETTINGS";

/// Parses and validates settings. Returns a value only if no error was added.
/// Unknown keys are ignored, since the platform adds new ones.
std::optional<NodeSettings> ReadNodeSettings(std::string_view aText,
                                             FileErrors& aErrors);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_SETTINGS_HPP_INCLUDED
