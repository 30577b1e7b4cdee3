#ifndef TARRAGONSILL_CONFIGURATION_YAML_HPP_INCLUDED
#define TARRAGONSILL_CONFIGURATION_YAML_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_yaml_reader.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <optional>
#include <string>

/// The YAML form of a configuration.
namespace tarragonsill {

/// Reads a configuration and checks it. A value is returned only if no fault
/// was added.
std::optional<Configuration> ReadConfiguration(std::string const& aText,
                                               YamlErrors& aErrors);

/// Writes a configuration. With `aWithDerived`, the steering base and the
/// retired addresses are written too, as entry VMs need them.
std::string WriteConfiguration(Configuration const& aConfiguration,
                               bool aWithDerived);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONFIGURATION_YAML_HPP_INCLUDED
