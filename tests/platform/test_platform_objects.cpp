#include "tarragonsill_test.hpp"

#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"

#include <nlohmann/json.hpp>

using namespace tarragonsill;
using Platform::ObjectFormat;

namespace {

constexpr std::uint64_t kEra = 3;

ObjectQuery
ListQuery(ObjectKind aKind)
{
  ObjectQuery query;
  query.mKind = aKind;
  return query;
}

ObjectQuery
WatchQuery(ObjectKind aKind)
{
  auto query = ListQuery(aKind);
  query.mWatchFrom = { kEra, 12 };
  query.mWait = milliseconds{ 1500 };
  return query;
}

nlohmann::json
UpstreamSpec()
{
  return { { "service", "svc" },     { "address", "10.1.64.9:8080" },
           { "zone", "a" },          { "version", "v1" },
           { "slots", 4 },           { "state", "ready" },
           { "coldLeftMs", 0 },      { "seq", 9 },
           { "born", 1796000000000 } };
}

nlohmann::json
MakeObject(std::string const& aName, nlohmann::json const& aSpec)
{
  return { { "meta", { { "name", aName }, { "revision", 31 } } },
           { "spec", aSpec },
           { "status", nullptr } };
}

std::string
ListBody(std::vector<nlohmann::json> const& aItems)
{
  return nlohmann::json{
    { "items", aItems }, { "more", false }, { "currentRev", 40 }
  }.dump();
}

/// Decodes a list of one upstream.
ObjectChange
DecodeUpstream(std::string const& aName, nlohmann::json const& aSpec)
{
  auto page = ObjectFormat::Decode(ListQuery(ObjectKind::Upstreams),
                                   kEra,
                                   ListBody({ MakeObject(aName, aSpec) }));
  CHECK(page.HasValue());
  LONGS_EQUAL(1, page->mChanges.size());
  return page->mChanges.front();
}

bool
IsInvalid(ObjectChange const& aChange)
{
  return std::holds_alternative<InvalidRecord>(aChange.mContent);
}

} // namespace

TEST_GROUP(PlatformObjects){};

TEST(PlatformObjects, paths_have_kind_position_and_staleness)
{
  auto list = ListQuery(ObjectKind::Upstreams);
  STRCMP_EQUAL("/objects/servers", ObjectFormat::Path(list).c_str());
  list.mAfter = "i-1";
  STRCMP_EQUAL("/objects/servers?after=i-1", ObjectFormat::Path(list).c_str());
  auto watch = WatchQuery(ObjectKind::Configuration);
  watch.mMayBeStale = true;
  STRCMP_EQUAL("/objects/config?watch=12&waitMs=1500&serializable=1",
               ObjectFormat::Path(watch).c_str());
}

TEST(PlatformObjects, an_upstream_is_decoded)
{
  auto const change = DecodeUpstream("i-00ff", UpstreamSpec());
  auto const* registration =
    std::get_if<UpstreamRegistration>(&change.mContent);
  CHECK(registration != nullptr);
  CHECK((change.mPosition == StorePosition{ kEra, 31 }));
  LONGS_EQUAL(0xFF, registration->mIdentity);
  CHECK(registration->mAddress == Endpoint({ { 0x0A014009 }, 8080 }));
  LONGS_EQUAL(4, registration->mSlots);
  CHECK_FALSE(registration->mDraining);
  CHECK(registration->mStartMark == 1796000000000);
}

TEST(PlatformObjects, an_upstream_with_a_malformed_field_is_invalid)
{
  std::vector<std::pair<char const*, nlohmann::json>> const malformedFields = {
    { "service", 3 },       { "address", "10.1.64.9" },
    { "address", nullptr }, { "zone", false },
    { "slots", 0 },         { "slots", "four" },
    { "state", "asleep" },  { "coldLeftMs", "soon" },
    { "coldLeftMs", -1 },
  };
  for (auto const& [field, value] : malformedFields) {
    auto spec = UpstreamSpec();
    spec[field] = value;
    CHECK_TEXT(IsInvalid(DecodeUpstream("i-00ff", spec)), field);
    spec.erase(field);
    CHECK_TEXT(IsInvalid(DecodeUpstream("i-00ff", spec)), field);
  }
  CHECK(IsInvalid(DecodeUpstream("host", UpstreamSpec())));
  CHECK(IsInvalid(DecodeUpstream("i-00ff", "not an object")));
}

TEST(PlatformObjects, invalid_text_in_one_object_leaves_the_others_readable)
{
  auto body = ListBody(
    { MakeObject("i-00aa", "FOREIGN"), MakeObject("i-00bb", UpstreamSpec()) });
  body.replace(body.find("FOREIGN"), 2, "\xFF\x01");
  auto const page =
    ObjectFormat::Decode(ListQuery(ObjectKind::Upstreams), kEra, body);
  CHECK(page.HasValue());
  LONGS_EQUAL(2, page->mChanges.size());
  CHECK(IsInvalid(page->mChanges.front()));
  CHECK_FALSE(IsInvalid(page->mChanges.back()));
}

TEST(PlatformObjects, events_are_decoded_as_changes_and_removals)
{
  nlohmann::json const body = {
    { "events",
      { { { "object", MakeObject("i-00aa", UpstreamSpec()) },
          { "tombstone", false } },
        { { "object", MakeObject("i-00bb", nullptr) },
          { "tombstone", true } } } },
    { "currentRev", 44 }
  };
  auto const page =
    ObjectFormat::Decode(WatchQuery(ObjectKind::Upstreams), kEra, body.dump());
  CHECK(page.HasValue());
  CHECK((page->mPosition == StorePosition{ kEra, 44 }));
  CHECK_FALSE(page->mChanges.front().mRemoved);
  CHECK(page->mChanges.back().mRemoved);
}

TEST(PlatformObjects, a_configuration_is_decoded)
{
  nlohmann::json const spec = {
    { "version", 9 },
    { "routes",
      { { { "name", "r1" },
          { "host", "198.18.0.1" },
          { "pathPrefix", "/8443/" },
          { "type", "download" },
          { "split",
            { { { "service", "s1" }, { "weight", 90 } },
              { { "service", "s2" }, { "weight", 10 } } } } },
        { { "name", "r2" },
          { "host", "198.18.0.1" },
          { "pathPrefix", "/80/" },
          { "type", "unsafe" },
          { "service", "s1" } } } },
    { "services",
      { { { "name", "s1" }, { "coldS", 2.5 }, { "coldRateS", 3.5 } } } },
    { "limits", { { "idleTimeoutMs", 12000 } } }
  };
  auto const page =
    ObjectFormat::Decode(ListQuery(ObjectKind::Configuration),
                         kEra,
                         ListBody({ MakeObject("main", spec) }));
  auto const* configuration =
    std::get_if<RoutingConfiguration>(&page->mChanges.front().mContent);
  CHECK(configuration != nullptr);
  LONGS_EQUAL(9, configuration->mVersion);
  LONGS_EQUAL(2, configuration->mRoutes.front().mShares.size());
  CHECK(configuration->mRoutes.front().mKind == RequestKind::Idempotent);
  CHECK(configuration->mRoutes.back().mKind == RequestKind::NotIdempotent);
  CHECK(configuration->mRoutes.back().mAddress ==
        Endpoint({ { 0xC6120001 }, 80 }));
  LONGS_EQUAL(2500, configuration->mServices.front().mColdTime.count());
  DOUBLES_EQUAL(
    3.5, configuration->mServices.front().mColdFlowsPerSecond, 1e-9);
  LONGS_EQUAL(12000, configuration->mIdleTimeout.count());
}

TEST(PlatformObjects, any_body_gives_a_page_or_a_reason)
{
  CheckProperty("any body", [] {
    auto body = ListBody({ MakeObject("i-00aa", UpstreamSpec()) });
    auto const replacements =
      *rc::gen::container<std::vector<std::pair<int, char>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(body.size())),
                      rc::gen::arbitrary<char>()));
    for (auto const& [position, byte] : replacements) {
      body[static_cast<std::size_t>(position)] = byte;
    }
    for (auto const kind : kObjectKinds) {
      auto const page = ObjectFormat::Decode(ListQuery(kind), kEra, body);
      RC_ASSERT(page.HasValue() || !page.LastReason().mText.empty());
      (void)ObjectFormat::Decode(WatchQuery(kind), kEra, body);
    }
  });
}

TEST(PlatformObjects, only_a_whole_number_is_an_era)
{
  CHECK(ObjectFormat::ReadEra("7") == 7U);
  for (char const* text : { "", "7 ", "-1", "x", "99999999999999999999999" }) {
    CHECK_FALSE(ObjectFormat::ReadEra(text).has_value());
  }
}
