#include "tarragonsill_test.hpp"

#include "deployments.hpp"
#include "support/fixtures.hpp"
#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"
#include "tarragonsill/protocol/tarragonsill_settings.hpp"

#include <tarragonsill_peer.pb.h>

using namespace tarragonsill;

namespace {

char const* const kSettings = "entry: e1\n"
                              "zone: a\n"
                              "deployment: d\n"
                              "data: 127.0.0.1:1\n"
                              "control: 127.0.0.1:2\n"
                              "calls: 127.0.0.1:3\n"
                              "metrics: 127.0.0.1:4\n"
                              "fabric: [127.0.0.2:6081]\n"
                              "peers: [127.0.0.0/8]\n"
                              "platform:\n"
                              "  address: 127.0.0.3:80\n";

std::vector<FileError>
ConfigurationErrors(std::string const& aText)
{
  YamlErrors errors("file");
  ReadConfiguration(aText, errors);
  return errors.All();
}

/// Replaces the first occurrence of a piece of a text.
std::string
Replaced(std::string aText, std::string const& aOld, std::string const& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

/// Overwrites random characters of a text.
std::string
Corrupted(std::string aText)
{
  auto const corruptions =
    *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
      rc::gen::arbitrary<std::pair<std::uint16_t, char>>());
  for (auto const& [position, character] : corruptions) {
    aText[position % aText.size()] = character;
  }
  return aText;
}

} // namespace

TEST_GROUP(ConfigurationYaml){};

TEST(ConfigurationYaml, a_written_configuration_is_read_back)
{
  auto const configuration = Test::MakeConfiguration({ { "a", "b" }, 4 });
  YamlErrors errors("file");
  auto const readBack =
    ReadConfiguration(WriteConfiguration(configuration, true), errors);
  CHECK(readBack.has_value());
  CHECK(readBack->mServices.front().mBase ==
        configuration.mServices.front().mBase);
  STRCMP_EQUAL(WriteConfiguration(configuration, true).c_str(),
               WriteConfiguration(*readBack, true).c_str());
}

TEST(ConfigurationYaml, an_error_names_file_line_key_and_expected_value)
{
  auto const text = WriteConfiguration(Test::MakeConfiguration({}), false);
  auto const errors = ConfigurationErrors(
    Replaced(text, "connections: 100", "connections: many"));
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL("file:13: services[0].upstreams[0].connections: a whole number "
               "from 1 to 1000000 is expected, found 'many'",
               errors.front().ToText().c_str());
}

TEST(ConfigurationYaml, all_errors_of_a_file_are_reported)
{
  auto text = WriteConfiguration(Test::MakeConfiguration({}), false);
  text = Replaced(text, "state: in", "state: closed");
  text = Replaced(text, "10.0.0.1:8443", "10.0.0.1");
  text = Replaced(text, "slots: 4", "slotz: 4");
  LONGS_EQUAL(3, ConfigurationErrors(text).size());
}

TEST(ConfigurationYaml, any_text_gives_a_configuration_or_an_error)
{
  CheckProperty("any text", [] {
    YamlErrors errors("file");
    auto const text = *rc::gen::arbitrary<std::string>();
    auto const configuration = ReadConfiguration(text, errors);
    RC_ASSERT(configuration.has_value() == errors.All().empty());
  });
}

TEST(ConfigurationYaml, a_corrupted_text_gives_a_configuration_or_an_error)
{
  auto const text = WriteConfiguration(Test::MakeConfiguration({}), true);
  CheckProperty("corrupted text", [&] {
    YamlErrors errors("file");
    auto const configuration = ReadConfiguration(Corrupted(text), errors);
    RC_ASSERT(configuration.has_value() == errors.All().empty());
  });
}

TEST_GROUP(SettingsYaml){};

TEST(SettingsYaml, settings_are_read)
{
  YamlErrors errors("file");
  auto const settings = ReadSettings(kSettings, errors);
  CHECK(settings.has_value());
  STRCMP_EQUAL("e1", settings->mEntry.c_str());
  LONGS_EQUAL(1, settings->mPeers.size());
}

TEST(SettingsYaml, a_missing_required_key_is_an_error)
{
  YamlErrors errors("file");
  CHECK_FALSE(
    ReadSettings(Replaced(kSettings, "zone: a\n", ""), errors).has_value());
  STRCMP_EQUAL("zone", errors.All().front().mKey.c_str());
}

TEST(SettingsYaml, a_corrupted_text_gives_settings_or_an_error)
{
  CheckProperty("corrupted settings", [] {
    YamlErrors errors("file");
    auto const settings = ReadSettings(Corrupted(kSettings), errors);
    RC_ASSERT(settings.has_value() == errors.All().empty());
  });
}

TEST_GROUP(Declare){};

TEST(Declare, the_example_deployments_are_valid)
{
  auto const reykjavik = Examples::ReykjavikDeployment().Build();
  CHECK(reykjavik.HasValue());
  LONGS_EQUAL(2, reykjavik->mServices.size());
  LONGS_EQUAL(14, reykjavik->mServices[0].mUpstreams.size());
  LONGS_EQUAL(4, reykjavik->mServices[1].mUpstreams.size());
  CHECK(Examples::AmmanDeployment().Build().HasValue());
}

TEST(Declare, to_yaml_reports_all_errors)
{
  using namespace tarragonsill::Declare;
  auto const result =
    DeploymentBuilder::Named("d")
      .Zone("a")
      .Add(ServiceBuilder::Named("s").At("nowhere").Add(
        UpstreamBuilder::Named("u").InZone("b").At("10.0.0.1")))
      .ToYaml();
  CHECK_FALSE(result.HasValue());
  auto const& text = result.LastReason().mText;
  CHECK(text.find("service s: 'nowhere'") != std::string::npos);
  CHECK(text.find("upstream u: '10.0.0.1'") != std::string::npos);
  CHECK(text.find("zone 'b' is not declared") != std::string::npos);
}
