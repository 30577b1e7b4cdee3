#include "tarragonsill/tarragonsill.hpp"

#include <iostream>

/// Runs leased ownership of one upstream between two members on a virtual
/// clock. One member acquires the lease, which expires after the other member
/// becomes unreachable and no longer grants renewals.
int
main()
{
  using namespace tarragonsill;

  auto const member = [](char const* aName, std::uint32_t aAddress) {
    Member result;
    result.mName = aName;
    result.mZone = "a";
    result.mControl = { { aAddress }, 7946 };
    result.mStage = MemberStage::Serving;
    return result;
  };
  auto const left = member("left", 1);
  auto const right = member("right", 2);
  LeasedResource const resource{ { { 0x0A000001 }, 8443 }, { 100, 4 }, true };
  Counters counters;
  Ownership leftSide({}, "left", counters);
  Ownership rightSide({}, "right", counters);
  for (auto* side : { &leftSide, &rightSide }) {
    side->Configure({ resource });
    side->SetMembers({ left, right });
  }

  auto const deliver = [](TimePoint aNow,
                          Outbox& aOutbox,
                          Member const& aFrom,
                          Ownership& aTo,
                          Outbox& aAnswers) {
    for (auto const& outgoing : aOutbox) {
      if (outgoing.mMessage.has_lease_ask()) {
        aTo.HandleAsk(aNow, aFrom, outgoing.mMessage.lease_ask(), aAnswers);
      }
      if (outgoing.mMessage.has_lease_grant()) {
        aTo.HandleGrant(aNow, aFrom, outgoing.mMessage.lease_grant());
      }
    }
    aOutbox.clear();
  };

  auto now = TimePoint{} + seconds{ 1 };
  auto const end = now + seconds{ 8 };
  auto const disconnectedFrom = now + seconds{ 3 };
  for (; now < end; now += milliseconds{ 100 }) {
    Outbox fromLeft;
    Outbox fromRight;
    leftSide.Tick(now, fromLeft);
    rightSide.Tick(now, fromRight);
    bool const isConnected = now < disconnectedFrom;
    for (int round = 0; isConnected && round < 2; ++round) {
      Outbox toLeft;
      Outbox toRight;
      deliver(now, fromLeft, left, rightSide, toLeft);
      deliver(now, fromRight, right, leftSide, toRight);
      fromLeft = std::move(toRight);
      fromRight = std::move(toLeft);
    }
    auto const count =
      leftSide.Leases(now).size() + rightSide.Leases(now).size();
    if (count > 1) {
      std::cerr << "two lease holders\n";
      return 1;
    }
    if (now.time_since_epoch() % seconds{ 1 } == Duration{}) {
      std::cout << (isConnected ? "connected" : "cut off  ")
                << "  lease holders " << count << '\n';
    }
  }
  return 0;
}
