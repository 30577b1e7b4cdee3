#include "tarragonsill/protocol/tarragonsill_yaml_reader.hpp"

#include <charconv>

namespace tarragonsill {

namespace {

std::optional<std::uint64_t>
ParseUnsigned(std::string_view aText)
{
  std::uint64_t value = 0;
  auto const* const end = aText.data() + aText.size();
  auto const [parseEnd, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc{} || parseEnd != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<milliseconds>
ParseTime(std::string_view aText)
{
  constexpr std::uint64_t kMaxCount = 1'000'000'000;
  bool const inMilliseconds = aText.ends_with("ms");
  if (!inMilliseconds && !aText.ends_with("s")) {
    return std::nullopt;
  }
  auto const number =
    ParseUnsigned(aText.substr(0, aText.size() - (inMilliseconds ? 2 : 1)));
  if (!number || *number > kMaxCount) {
    return std::nullopt;
  }
  return milliseconds{ *number * (inMilliseconds ? 1 : 1000) };
}

} // namespace

void
YamlErrors::Add(YAML::Node const& aNode,
                std::string aKey,
                std::string aExpected)
{
  int const line = aNode.IsDefined() ? aNode.Mark().line + 1 : 0;
  AddAtLine(line, std::move(aKey), std::move(aExpected));
}

std::optional<YAML::Node>
LoadYaml(std::string const& aText, YamlErrors& aErrors)
{
  try {
    return YAML::Load(aText);
  } catch (YAML::Exception const& error) {
    // yaml-cpp reports errors by exceptions, this project by values.
    aErrors.AddAtLine(error.mark.line + 1, "", error.msg);
    return std::nullopt;
  }
}

YamlMapping::YamlMapping(YAML::Node aNode,
                         std::string aKey,
                         YamlErrors& aErrors)
  : mNode(std::move(aNode))
  , mKey(std::move(aKey))
  , mErrors(aErrors)
{
  if (!mNode.IsMap()) {
    mErrors.Add(mNode, mKey, "a mapping is expected");
    mNode = YAML::Node(YAML::NodeType::Map);
  }
}

std::string
YamlMapping::Path(std::string const& aName) const
{
  return mKey.empty() ? aName : mKey + "." + aName;
}

YAML::Node
YamlMapping::Child(std::string const& aName, bool aRequired)
{
  mRead.insert(aName);
  // The operator[] of a non-const node adds the key.
  YAML::Node const& constNode = mNode;
  auto child = constNode[aName];
  bool const absent = !child.IsDefined() || child.IsNull();
  if (absent && aRequired) {
    mErrors.Add(mNode, Path(aName), "required key is missing");
  }
  return absent ? YAML::Node(YAML::NodeType::Undefined) : child;
}

std::optional<std::string>
YamlMapping::Scalar(std::string const& aName, bool aRequired)
{
  auto const node = Child(aName, aRequired);
  if (!node.IsDefined()) {
    return std::nullopt;
  }
  if (!node.IsScalar()) {
    mErrors.Add(
      node, Path(aName), "a single value is expected, found a list or mapping");
    return std::nullopt;
  }
  return node.Scalar();
}

std::string
YamlMapping::Text(std::string const& aName)
{
  auto const text = Scalar(aName, true);
  if (text && text->empty()) {
    AddError(aName, "a non-empty string is expected, found ''");
  }
  return text.value_or("");
}

std::string
YamlMapping::Text(std::string const& aName, std::string const& aDefault)
{
  return Scalar(aName, false).value_or(aDefault);
}

std::uint32_t
YamlMapping::Number(std::string const& aName,
                    std::uint32_t aMin,
                    std::uint32_t aMax,
                    std::optional<std::uint32_t> aDefault)
{
  auto const text = Scalar(aName, !aDefault);
  if (!text) {
    return aDefault.value_or(aMin);
  }
  auto const number = ParseUnsigned(*text);
  if (!number || *number < aMin || *number > aMax) {
    AddError(aName,
             "a whole number from " + std::to_string(aMin) + " to " +
               std::to_string(aMax) + " is expected, found '" + *text + "'");
    return aMin;
  }
  return static_cast<std::uint32_t>(*number);
}

milliseconds
YamlMapping::Time(std::string const& aName,
                  milliseconds aMin,
                  milliseconds aMax,
                  std::optional<milliseconds> aDefault)
{
  auto const text = Scalar(aName, !aDefault);
  if (!text) {
    return aDefault.value_or(aMin);
  }
  auto const time = ParseTime(*text);
  if (!time || *time < aMin || *time > aMax) {
    AddError(aName,
             "a time from " + std::to_string(aMin.count()) + "ms to " +
               std::to_string(aMax.count()) + "ms is expected, found '" +
               *text + "'");
    return aMin;
  }
  return *time;
}

bool
YamlMapping::IsSecondOption(std::string const& aName,
                            std::string const& aFirst,
                            std::string const& aSecond)
{
  auto const word = Text(aName, aFirst);
  if (word != aFirst && word != aSecond) {
    AddError(aName,
             "'" + aFirst + "' or '" + aSecond + "' is expected, found '" +
               word + "'");
  }
  return word == aSecond;
}

Endpoint
YamlMapping::Address(std::string const& aName)
{
  auto const address = OptionalAddress(aName);
  if (!address && !mNode[aName].IsDefined()) {
    mErrors.Add(mNode, Path(aName), "required key is missing");
  }
  return address.value_or(Endpoint{});
}

std::optional<Endpoint>
YamlMapping::OptionalAddress(std::string const& aName)
{
  auto const text = Scalar(aName, false);
  if (!text) {
    return std::nullopt;
  }
  auto const endpoint = ParseEndpoint(*text);
  if (!endpoint || endpoint->mPort == 0) {
    AddError(aName, "ADDRESS:PORT is expected, found '" + *text + "'");
    return std::nullopt;
  }
  return *endpoint;
}

std::vector<YAML::Node>
YamlMapping::Items(std::string const& aName, bool aRequired)
{
  auto const node = Child(aName, aRequired);
  std::vector<YAML::Node> items;
  if (!node.IsDefined()) {
    return items;
  }
  if (!node.IsSequence()) {
    mErrors.Add(node, Path(aName), "a list is expected");
    return items;
  }
  for (auto const& item : node) {
    items.push_back(item);
  }
  return items;
}

std::optional<YamlMapping>
YamlMapping::Nested(std::string const& aName, bool aRequired)
{
  auto const node = Child(aName, aRequired);
  if (!node.IsDefined()) {
    return std::nullopt;
  }
  return YamlMapping(node, Path(aName), mErrors);
}

void
YamlMapping::AddError(std::string const& aName, std::string aExpected)
{
  YAML::Node const& constNode = mNode;
  auto const child = constNode[aName];
  mErrors.Add(child.IsDefined() ? child : mNode, Path(aName), aExpected);
}

void
YamlMapping::ReportUnreadKeys()
{
  for (auto const& entry : mNode) {
    auto const name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
    if (mRead.count(name) > 0) {
      continue;
    }
    mErrors.Add(entry.first, Path(name), "unknown key");
  }
}

} // namespace tarragonsill
