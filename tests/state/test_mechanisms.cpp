#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

Mechanisms
AllMechanisms()
{
  return {};
}

Mechanisms
Without(char const* aName)
{
  return Mechanisms::Without({ aName }).Take();
}

/// Returns the zone of the upstream that is selected for a new flow, if the own
/// zone has an upstream with some flows and another zone has an idle one.
std::uint32_t
ZoneOfNewFlow(Mechanisms aMechanisms)
{
  SampleStore store;
  store.Configure(kStart, SampleConfiguration());
  store.Register(kStart, SampleUpstream("a1", "a"));
  store.Register(kStart, SampleUpstream("b1", "b"));
  auto const view = store.View(kStart);
  std::vector<UpstreamLoad> loads(view->mUpstreams.size());
  loads[SlotOf(*view, "a1")].mFlows = 3;
  std::vector<ZoneSilenceDetector> zoneSilence(view->mZones.size() + 1);
  UpstreamSelector selector(1, aMechanisms);
  auto const selection = selector.Pick(
    kStart, *view, view->mServices.front(), { loads, zoneSilence, false, {} });
  return view->mUpstreams[selection->mSlot].mZone;
}

} // namespace

TEST_GROUP(Mechanisms){};

TEST(Mechanisms, all_mechanisms_are_in_use_by_default)
{
  for (int index = 0; index < static_cast<int>(Mechanism::Count); ++index) {
    CHECK(AllMechanisms().Uses(static_cast<Mechanism>(index)));
  }
  CHECK(AllMechanisms().DisabledNames().empty());
}

TEST(Mechanisms, each_mechanism_can_be_switched_off_by_its_name)
{
  for (int index = 0; index < static_cast<int>(Mechanism::Count); ++index) {
    auto const mechanism = static_cast<Mechanism>(index);
    std::string const name(ToText(mechanism));
    auto const without = Mechanisms::Without({ name });
    CHECK(without.HasValue());
    CHECK_FALSE(without->Uses(mechanism));
    LONGS_EQUAL(1, without->DisabledNames().size());
    STRCMP_EQUAL(name.c_str(), without->DisabledNames().front().c_str());
  }
  auto const unknown = Mechanisms::Without({ "zone_first", "zone" });
  CHECK_FALSE(unknown.HasValue());
  CHECK(unknown.LastReason().mText.find("'zone'") != std::string::npos);
  CHECK(unknown.LastReason().mText.find("zone_spill") != std::string::npos);
}

TEST(Mechanisms, the_metrics_page_shows_which_mechanisms_are_off)
{
  auto const page = Without("answer_pace").ToExposition("vm-1");
  CHECK(page.find("name=\"answer_pace\"} 0\n") != std::string::npos);
  CHECK(page.find("name=\"zone_first\"} 1\n") != std::string::npos);
}

TEST(Mechanisms, without_zone_first_the_least_loaded_upstream_is_selected)
{
  LONGS_EQUAL(0, ZoneOfNewFlow(AllMechanisms()));
  LONGS_EQUAL(1, ZoneOfNewFlow(Without("zone_first")));
}

TEST(Mechanisms, without_missing_patience_a_removed_upstream_is_gone_at_once)
{
  for (bool const isTolerant : { true, false }) {
    auto settings = SampleSettings();
    settings.mMechanisms =
      isTolerant ? AllMechanisms() : Without("missing_patience");
    SampleStore store(settings);
    store.Configure(kStart, SampleConfiguration());
    store.Register(kStart, SampleUpstream("a1", "a"));
    store.Remove(kStart, "a1");
    auto const view = store.View(kStart);
    CHECK(view->mUpstreams.front().mAvailability ==
          (isTolerant ? UpstreamAvailability::Missing
                      : UpstreamAvailability::Gone));
  }
}

TEST(Mechanisms, without_drawn_watchers_every_vm_watches)
{
  std::vector<Member> zone;
  for (int index = 0; index < 9; ++index) {
    Member member;
    member.mName = "vm-" + std::to_string(index);
    member.mStage = MemberStage::Serving;
    zone.push_back(member);
  }
  for (bool const isDrawn : { true, false }) {
    int watching = 0;
    for (auto const& member : zone) {
      WatchRelay relay(isDrawn ? AllMechanisms() : Without("drawn_watchers"));
      WatchRelay::RoleInputs const inputs{ true, true, false };
      relay.RecordReport(kStart, zone[0].mName, milliseconds{ 0 });
      for (auto const& other : zone) {
        relay.RecordReport(kStart, other.mName, milliseconds{ 0 });
      }
      auto const role = relay.Role(kStart, zone, member.mName, inputs);
      watching += role == WatchRole::ReliesOnPeers ? 0 : 1;
    }
    LONGS_EQUAL(isDrawn ? 2 : 9, watching);
  }
}
