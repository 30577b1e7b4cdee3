#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Tests of faults that are known and not fixed yet; see KNOWN-RED.txt.
TEST_GROUP_BASE(CookieKnownFaults, CookieFixture){};

/// Guards against a reset by an upstream whose late answer reaches the caller
/// just before routers send its flow to a VM that has never seen the flow.
TEST(CookieKnownFaults, a_flow_that_comes_with_a_late_cookie_keeps_its_upstream)
{
  auto const lateSlot = SlotOf(mSteering.View(), "b1");
  auto const lateCookie = mSteering.View().mUpstreams[lateSlot].mCookie;
  SampleFlow flow;
  auto const opened = CompleteRequest(flow);
  CHECK(opened.mSlot != lateSlot);
  CookieSteering newVm(2);
  newVm.SetView(mStore.View(mNow));
  auto const verdict = newVm.Steer(mNow, flow.Data(lateCookie));
  LONGS_EQUAL(opened.mSlot, verdict.mSlot);
}
