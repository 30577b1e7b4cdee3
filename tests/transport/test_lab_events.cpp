#include "tarragonsill_test.hpp"

#include "tarragonsill_lab_run.hpp"

using namespace tarragonsill;

TEST_GROUP(LabEvents){};

TEST(LabEvents, an_event_is_parsed_into_kind_argument_and_second)
{
  auto const event = Lab::ParseEvent("drain-upstream:app-3@2.5");
  CHECK(event.HasValue());
  CHECK(event->mKind == Lab::EventKind::DrainUpstream);
  STRCMP_EQUAL("app-3", event->mArgument.c_str());
  DOUBLES_EQUAL(2.5, event->mSecond, 0.001);
}

TEST(LabEvents, unknown_names_and_missing_times_are_rejected)
{
  CHECK_FALSE(Lab::ParseEvent("no-such-event@1").HasValue());
  CHECK_FALSE(Lab::ParseEvent("kill-entry").HasValue());
  CHECK_FALSE(Lab::ParseEvent("kill-entry@soon").HasValue());
  auto const configuration = Lab::BuildDeployment("reykjavik", {});
  CHECK(configuration.HasValue());
  CHECK_FALSE(
    Lab::CheckEvents({ *Lab::ParseEvent("zone-out:nowhere@1") }, *configuration)
      .HasValue());
  CHECK_FALSE(Lab::BuildDeployment("nowhere", {}).HasValue());
}

TEST(LabEvents, parsing_any_text_gives_an_event_or_a_reason)
{
  CheckProperty("any text", [] {
    auto const event = Lab::ParseEvent(*rc::gen::arbitrary<std::string>());
    bool const isEventOrReason =
      event.HasValue() || !event.LastReason().mText.empty();
    RC_ASSERT(isEventOrReason);
  });
}
