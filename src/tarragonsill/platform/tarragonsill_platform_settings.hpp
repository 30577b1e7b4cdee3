#ifndef TARRAGONSILL_PLATFORM_SETTINGS_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_SETTINGS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_file_errors.hpp"
#include "tarragonsill/state/tarragonsill_node_settings.hpp"

#include <optional>
#include <string_view>

/// Reads the platform's settings file (TOML) of a VM.
namespace tarragonsill::Platform {

/// The environment variable that holds the path of the settings file.
constexpr char const* kSettingsVariable = "TARRAGONSILL_SETTINGS";

/// Reads settings. Every fault names file, line and key; keys that are not
/// known are ignored, as the platform adds new ones.
std::optional<NodeSettings> ReadNodeSettings(std::string_view aText,
                                             FileErrors& aErrors);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_SETTINGS_HPP_INCLUDED
