#ifndef TARRAGONSILL_YAML_READER_HPP_INCLUDED
#define TARRAGONSILL_YAML_READER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_file_errors.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

/// Reads and validates YAML. All errors are collected with file, line and key.
namespace tarragonsill {

/// Collects the errors of one YAML file.
class YamlErrors : public FileErrors
{
public:
  using FileErrors::FileErrors;
  void Add(YAML::Node const& aNode, std::string aKey, std::string aExpected);
};

/// Parses a document. A syntax error is added to `aErrors`.
std::optional<YAML::Node> LoadYaml(std::string const& aText,
                                   YamlErrors& aErrors);

/// Reads the keys of one mapping. Keys that are not read are errors.
class YamlMapping
{
public:
  YamlMapping(YAML::Node aNode, std::string aKey, YamlErrors& aErrors);

  /// Reads a required string, which must not be empty.
  std::string Text(std::string const& aName);
  std::string Text(std::string const& aName, std::string const& aDefault);
  std::uint32_t Number(std::string const& aName,
                       std::uint32_t aMin,
                       std::uint32_t aMax,
                       std::optional<std::uint32_t> aDefault = std::nullopt);
  /// Reads a time with its unit, such as `250ms` or `30s`.
  milliseconds Time(std::string const& aName,
                    milliseconds aMin,
                    milliseconds aMax,
                    std::optional<milliseconds> aDefault = std::nullopt);
  /// Reads one of two words and returns whether it is the second one. The first
  /// one is the default.
  bool IsSecondOption(std::string const& aName,
                      std::string const& aFirst,
                      std::string const& aSecond);
  Endpoint Address(std::string const& aName);
  std::optional<Endpoint> OptionalAddress(std::string const& aName);
  /// Returns the items of a sequence; none if the key is absent. An absent
  /// required key is an error.
  std::vector<YAML::Node> Items(std::string const& aName, bool aRequired);
  /// Returns a nested mapping; nothing if the key is absent. An absent required
  /// key is an error.
  std::optional<YamlMapping> Nested(std::string const& aName, bool aRequired);
  /// Adds an error at a key of this mapping.
  void AddError(std::string const& aName, std::string aExpected);
  /// Adds an error for each key that was not read.
  void ReportUnreadKeys();
  std::string const& Key() const { return mKey; }

private:
  YAML::Node Child(std::string const& aName, bool aRequired);
  std::optional<std::string> Scalar(std::string const& aName, bool aRequired);
  std::string Path(std::string const& aName) const;

  YAML::Node mNode;
  std::string mKey;
  YamlErrors& mErrors;
  std::set<std::string> mRead;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_YAML_READER_HPP_INCLUDED
