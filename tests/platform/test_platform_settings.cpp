#include "tarragonsill_test.hpp"

#include "tarragonsill/platform/tarragonsill_platform_settings.hpp"

#include <algorithm>

using namespace tarragonsill;

namespace {

char const* const kSettings = R"(nodeName = "front-a-1"
zone = "a"
internalPortRange = [7720,7735]
seeds = ["10.1.0.10:8166","10.2.0.40:8166"]
heartbeatIntervalMs = 770
somethingNew = { deep = [1, 2] }
[zones]
a = "r"
b = "r"
[listen]
packetAddr = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
[bounds]
drainMs = 5000
graceS = 6
warmupBurstFactor = 1.25
[platform]
address = "10.200.1.7:8169"
)";

std::optional<NodeSettings>
Read(std::string const& aText, FileErrors& aErrors)
{
  return Platform::ReadNodeSettings(aText, aErrors);
}

std::string
Replaced(std::string aText, std::string const& aOld, std::string const& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

} // namespace

TEST_GROUP(PlatformSettings)
{
  FileErrors mErrors{ "node.toml" };

  FileError ErrorOf(std::string const& aText)
  {
    CHECK_FALSE(Read(aText, mErrors).has_value());
    CHECK(!mErrors.All().empty());
    return mErrors.All().front();
  }
};

TEST(PlatformSettings, all_used_settings_are_read)
{
  auto const settings = Read(kSettings, mErrors);
  CHECK(settings.has_value());
  STRCMP_EQUAL("front-a-1", settings->mName.c_str());
  LONGS_EQUAL(2, settings->mZones.size());
  CHECK(settings->mPackets == Endpoint({ { 0x0A01000A }, 8172 }));
  CHECK(settings->mPeers == Endpoint({ { 0x0A01000A }, 7720 }));
  CHECK(settings->mSeeds.back() == Endpoint({ { 0x0A020028 }, 7720 }));
  LONGS_EQUAL(770, settings->mHeartbeat.count());
  LONGS_EQUAL(5000, settings->mBounds.mDrain.count());
  LONGS_EQUAL(6000, settings->mBounds.mGrace.count());
  DOUBLES_EQUAL(1.25, settings->mBounds.mColdFactor, 1e-9);
}

TEST(PlatformSettings, missing_bounds_keep_their_defaults)
{
  auto const settings = Read(kSettings, mErrors);
  LONGS_EQUAL(3000, settings->mBounds.mConfiguration.count());
}

TEST(PlatformSettings, an_error_names_file_line_and_key)
{
  auto const error =
    ErrorOf(Replaced(kSettings, "\"10.1.0.10:8172\"", "\"10.1.0.10\""));
  STRCMP_EQUAL("node.toml", error.mFile.c_str());
  LONGS_EQUAL(11, error.mLine);
  STRCMP_EQUAL("listen.packetAddr", error.mKey.c_str());
}

TEST(PlatformSettings, a_missing_key_is_an_error_without_a_line)
{
  auto const error = ErrorOf(Replaced(kSettings, "nodeName", "otherName"));
  LONGS_EQUAL(0, error.mLine);
  STRCMP_EQUAL("nodeName", error.mKey.c_str());
}

TEST(PlatformSettings, a_syntax_error_is_reported_with_its_line)
{
  LONGS_EQUAL(2, ErrorOf("zone = \"a\"\nzone = = 3\n").mLine);
}

TEST(PlatformSettings, negative_bounds_and_wrong_types_are_errors)
{
  STRCMP_EQUAL("bounds.drainMs",
               ErrorOf(Replaced(kSettings, "5000", "-1")).mKey.c_str());
  FileErrors errors("node.toml");
  CHECK_FALSE(
    Read(Replaced(kSettings, "[7720,7735]", "[\"x\"]"), errors).has_value());
}

TEST(PlatformSettings, the_hedge_share_is_read_and_unset_by_default)
{
  CHECK_FALSE(Read(kSettings, mErrors)->mMaxHedgeShare.has_value());
  auto const text = std::string(kSettings) + "[hedging]\nmaxShare = 0.05\n";
  DOUBLES_EQUAL(0.05, *Read(text, mErrors)->mMaxHedgeShare, 1e-9);
}

TEST(PlatformSettings, a_hedge_share_out_of_range_is_an_error_with_its_place)
{
  for (char const* value : { "0.21", "-0.1", "nan", "\"0.1\"" }) {
    FileErrors errors("node.toml");
    auto const text =
      std::string(kSettings) + "[hedging]\nmaxShare = " + value + "\n";
    CHECK_FALSE(Read(text, errors).has_value());
    auto const& error = errors.All().front();
    STRCMP_EQUAL("node.toml", error.mFile.c_str());
    LONGS_EQUAL(20, error.mLine);
    STRCMP_EQUAL("hedging.maxShare", error.mKey.c_str());
    CHECK(errors.ToText().find("from 0 to 0.2") != std::string::npos);
  }
}

TEST(PlatformSettings, any_text_gives_settings_or_errors)
{
  CheckProperty("any text", [] {
    std::string text(kSettings);
    auto const replacements =
      *rc::gen::container<std::vector<std::pair<int, char>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(text.size())),
                      rc::gen::arbitrary<char>()));
    for (auto const& [position, byte] : replacements) {
      text[static_cast<std::size_t>(position)] = byte;
    }
    FileErrors errors("node.toml");
    auto const settings = Read(text, errors);
    RC_ASSERT(settings.has_value() == errors.All().empty());
  });
}
