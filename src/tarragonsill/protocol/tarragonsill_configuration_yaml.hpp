#ifndef TARRAGONSILL_CONFIGURATION_YAML_HPP_INCLUDED
#define TARRAGONSILL_CONFIGURATION_YAML_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_yaml_reader.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <optional>
#include <string>

/// Reads and writes configurations in YAML.
namespace tarragonsill {

/// Parses and validates a configuration. Returns a value only if no error was
/// added.
std::optional<Configuration> ReadConfiguration(std::string const& aText,
                                               YamlErrors& aErrors);

/// Formats a configuration as YAML. With `aWithDerived` the text includes the
/// steering base and the retired addresses, which entry VMs need.
std::string WriteConfiguration(Configuration const& aConfiguration,
                               bool aWithDerived);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONFIGURATION_YAML_HPP_INCLUDED
