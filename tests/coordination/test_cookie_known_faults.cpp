#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Tests of faults that are known and not fixed yet; see KNOWN-RED.txt.
TEST_GROUP_BASE(CookieKnownFaults, CookieFixture){};

/// Guards against a reset, by the view from before a local pause, of a flow
/// that was opened through another VM.
TEST(CookieKnownFaults, a_queued_opening_packet_of_a_removed_route_is_not_reset)
{
  auto next = SampleConfiguration(2);
  next.mRoutes.erase(next.mRoutes.begin());
  mStore.Configure(mNow, next);
  RefreshView();
  mSteering.HandleLocalPause(mNow);
  auto const late = mSteering.Steer(mNow, SampleFlow().Opening());
  CHECK(late.mAction == SteeringAction::Drop);
}
