#ifndef TARRAGONSILL_COOKIE_FIXTURE_HPP_INCLUDED
#define TARRAGONSILL_COOKIE_FIXTURE_HPP_INCLUDED

#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

/// The common fixture for tests of `CookieSteering`: a VM in zone `a`.
namespace tarragonsill::Test {

constexpr TimePoint kStart{ seconds{ 100 } };

inline Endpoint
CallerAt(std::uint16_t aPort)
{
  return { kCaller.mAddress, aPort };
}

TEST_BASE(CookieFixture)
{
  SampleStore mStore;
  CookieSteering mSteering{ 1 };
  TimePoint mNow = kStart;
  std::uint16_t mNextPort = 50000; ///< Each new flow has a port of its own.

  void setup() override
  {
    mStore.ListAll(mNow);
    mStore.Configure(mNow, SampleConfiguration());
    for (char const* name : { "a1", "a2", "a3" }) {
      mStore.Register(mNow, SampleUpstream(name, "a"));
    }
    mStore.Register(mNow, SampleUpstream("b1", "b"));
    mStore.Register(mNow, SampleUpstream("l1", "a", "label"));
    RefreshView();
  }

  void RefreshView()
  {
    mSteering.SetView(mStore.View(mNow));
  }

  void Drain(std::string const& aName)
  {
    auto registration = SampleUpstream(aName, "a");
    registration.mDraining = true;
    mStore.Register(mNow, registration);
    RefreshView();
  }

  void Remove(std::string const& aName)
  {
    mStore.Remove(mNow, aName);
    RefreshView();
  }

  /// Applies a configuration without the first route.
  void RemoveRoute()
  {
    auto next = SampleConfiguration(2);
    next.mRoutes.erase(next.mRoutes.begin());
    mStore.Configure(mNow, next);
    RefreshView();
  }

  UpstreamHealth HealthOf(std::uint32_t aSlot) const
  {
    return mSteering.Loads()[aSlot].mPassiveHealth.Health(mNow);
  }

  std::string UpstreamOf(SteeringVerdict const& aVerdict) const
  {
    return mSteering.View().mUpstreams[aVerdict.mSlot].mRegistration.mName;
  }

  /// Opens a flow, sends a request and acknowledges its answer. Returns the
  /// verdict of the opening packet.
  SteeringVerdict CompleteRequest(SampleFlow & aFlow)
  {
    auto const opened = mSteering.Steer(mNow, aFlow.Opening());
    mNow += milliseconds{ 8 };
    (void)mSteering.Steer(mNow, aFlow.FirstData(opened.mCookie));
    mNow += milliseconds{ 20 };
    (void)mSteering.Steer(mNow, aFlow.Acknowledge(opened.mCookie));
    return opened;
  }

  /// Runs the probes that are due; one upstream has the given result, the
  /// others accept.
  void RunProbes(std::uint32_t aSlot, ConnectResult aResult)
  {
    mSteering.Sweep(mNow);
    for (auto const slot : mSteering.StartProbeRound(mNow)) {
      (void)mSteering.RecordProbeResult(
        mNow, slot, slot == aSlot ? aResult : ConnectResult::Accepted);
    }
  }

  /// Sends a request that gets no answer, and its retransmission.
  void SendUnansweredRequest(SampleFlow & aFlow, std::uint32_t aCookie)
  {
    (void)mSteering.Steer(mNow, aFlow.Data(aCookie));
    mNow += milliseconds{ 200 };
    (void)mSteering.Steer(mNow, aFlow.Data(aCookie, true));
  }

  /// Whether a new request of a flow is forwarded.
  bool IsForwarded(SampleFlow & aFlow, std::uint32_t aCookie)
  {
    auto const verdict = mSteering.Steer(mNow, aFlow.Data(aCookie));
    return verdict.mAction == SteeringAction::Forward;
  }

  /// Lets an upstream answer a flow that it already holds.
  void Answer(SampleFlow & aFlow, std::uint32_t aCookie)
  {
    (void)mSteering.Steer(mNow, aFlow.Data(aCookie));
    (void)mSteering.Steer(mNow, aFlow.Acknowledge(aCookie));
  }

  std::size_t CountResets()
  {
    mSteering.Sweep(mNow);
    return mSteering.TakeResets().size();
  }

  /// Completes requests of new flows until a flow reaches the given upstream.
  std::pair<SampleFlow, SteeringVerdict> CompleteRequestAt(
    std::string const& aName)
  {
    for (int count = 0; count < 100; ++count) {
      SampleFlow flow(CallerAt(mNextPort++));
      auto const verdict = CompleteRequest(flow);
      if (UpstreamOf(verdict) == aName) {
        return { flow, verdict };
      }
    }
    FAIL("no flow reached the upstream");
    return { SampleFlow(), {} };
  }
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_COOKIE_FIXTURE_HPP_INCLUDED
