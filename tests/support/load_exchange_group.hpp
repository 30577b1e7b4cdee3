#ifndef TARRAGONSILL_LOAD_EXCHANGE_GROUP_HPP_INCLUDED
#define TARRAGONSILL_LOAD_EXCHANGE_GROUP_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_load_exchange.hpp"
#include "tarragonsill/protocol/tarragonsill_load_report_message.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>

/// The VMs of a zone that exchange load reports over a virtual network.
namespace tarragonsill::Test {

class LoadExchangeGroup
{
public:
  static constexpr milliseconds kStep{ 10 };
  static constexpr milliseconds kObservationPeriod{ 500 };
  /// Returns whether a message from one VM to another is lost.
  using Loss = std::function<bool(std::size_t, std::size_t)>;

  LoadExchangeGroup(std::size_t aVms, std::size_t aUpstreams)
    : mFlows(aVms, std::vector<std::uint32_t>(aUpstreams, 1))
    , mUpstreams(aUpstreams)
    , mBytes(aVms)
    , mMessages(aVms)
  {
    for (std::size_t upstream = 0; upstream < aUpstreams; ++upstream) {
      mUpstreams[upstream] = static_cast<std::uint32_t>(MixHash(upstream, 1));
    }
    for (std::size_t vm = 0; vm < aVms; ++vm) {
      mVms.emplace_back();
      Restart(vm);
    }
  }

  static std::uint64_t NameOf(std::size_t aVm) { return MixHash(aVm, 99); }

  /// Starts a new process of a VM.
  void Restart(std::size_t aVm)
  {
    mIncarnations[aVm] = ++mLastIncarnation;
    mVms[aVm].emplace(LoadReporter{ NameOf(aVm), mIncarnations[aVm] });
    AnnounceMembers();
  }
  /// Ends a VM; the others are not told.
  void Kill(std::size_t aVm) { mVms[aVm].reset(); }
  /// Tells every VM which ones serve.
  void AnnounceMembers()
  {
    std::vector<std::uint64_t> names;
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      if (mVms[vm]) {
        names.push_back(NameOf(vm));
      }
    }
    SetServing(names);
  }
  void SetServing(std::vector<std::uint64_t> const& aNames)
  {
    for (auto& vm : mVms) {
      if (vm) {
        vm->SetServingVms(aNames);
      }
    }
  }
  /// The VM that is chosen first for a shard.
  std::size_t CollectorOf(std::uint32_t aShard) const
  {
    std::size_t best = 0;
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      bool const isBetter =
        MixHash(NameOf(vm), aShard) > MixHash(NameOf(best), aShard);
      best = isBetter ? vm : best;
    }
    return best;
  }

  /// Runs all VMs; `aCheck` is called after each step.
  void Run(
    Duration aTime,
    std::function<void()> const& aCheck = [] {})
  {
    for (auto const end = mNow + aTime; mNow < end;) {
      mNow += kStep;
      DeliverDue();
      for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
        auto const phase = kStep * (7 * vm % 50);
        bool const isDue =
          (mNow.time_since_epoch() + phase) % kObservationPeriod ==
          Duration::zero();
        if (mVms[vm] && isDue) {
          Observe(vm);
        }
      }
      aCheck();
    }
  }

  SharedLoads LoadsAt(std::size_t aVm) const { return mVms[aVm]->Build(mNow); }
  /// The flows of an upstream at all running VMs but one.
  double FlowsAtOthers(std::size_t aVm, std::size_t aUpstream) const
  {
    double flows = 0.0;
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      flows += vm != aVm && mVms[vm] ? mFlows[vm][aUpstream] : 0.0;
    }
    return flows;
  }
  /// Whether a VM knows the flows that all running ones have.
  bool KnowsAll(std::size_t aVm) const
  {
    auto loads = LoadsAt(aVm);
    for (std::size_t upstream = 0; upstream < mUpstreams.size(); ++upstream) {
      auto const& load = loads.mByProcess[mUpstreams[upstream]];
      if (load.mFlows != FlowsAtOthers(aVm, upstream)) {
        return false;
      }
    }
    return loads.mReporters > 0;
  }
  bool AllKnowAll() const
  {
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      if (mVms[vm] && !KnowsAll(vm)) {
        return false;
      }
    }
    return true;
  }

  TimePoint mNow{ seconds{ 100 } };
  std::vector<std::optional<LoadExchange>> mVms;
  std::vector<std::vector<std::uint32_t>> mFlows; ///< By VM and upstream.
  std::vector<std::uint32_t> mUpstreams;          ///< Their processes.
  std::vector<double> mRelativeTimes; ///< By upstream; 1 if missing.
  Loss mIsLost = [](std::size_t, std::size_t) { return false; };
  milliseconds mMaxDelay{ 0 };
  std::vector<std::size_t> mBytes;    ///< Sent, by VM.
  std::vector<std::size_t> mMessages; ///< Sent, by VM.

private:
  struct InFlight
  {
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    std::uint64_t mIncarnation = 0;
    wire::LoadReport mReport;
  };

  void Observe(std::size_t aVm)
  {
    UpstreamObservations observations;
    for (std::size_t upstream = 0; upstream < mUpstreams.size(); ++upstream) {
      auto const flows = mFlows[aVm][upstream];
      auto const time =
        upstream < mRelativeTimes.size() ? mRelativeTimes[upstream] : 1.0;
      if (flows > 0) {
        observations.push_back(
          { mUpstreams[upstream], flows, flows / 2, 1, time });
      }
    }
    for (auto const& outgoing :
         mVms[aVm]->RecordObservations(mNow, observations)) {
      for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
        if (NameOf(vm) == outgoing.mTo) {
          Send(aVm, vm, outgoing.mReport);
        }
      }
    }
  }

  /// Counts the bytes of a message as `NodePeers` sends it.
  void Send(std::size_t aFrom, std::size_t aTo, LoadReport const& aReport)
  {
    wire::PeerMessage message;
    auto& sender = *message.mutable_sender();
    sender.set_name("entry-michigan-" + std::to_string(aFrom));
    sender.set_zone("michigan");
    sender.set_address(0x0A010001);
    sender.set_control_port(20000);
    sender.set_data_port(20001);
    sender.set_calls_port(20002);
    sender.set_incarnation(1);
    sender.set_revision(3);
    sender.set_stage(2);
    message.set_configuration_version(1000);
    message.set_upstreams_revision(100'000);
    message.set_upstreams_era(1);
    message.set_evacuations_revision(100'000);
    message.set_evacuations_era(1);
    message.set_store_era(1);
    message.set_zone_reach(wire::ZONE_REACH_ANSWERING);
    *message.mutable_load_report() = ToWire(aReport);
    mBytes[aFrom] += message.ByteSizeLong();
    ++mMessages[aFrom];
    if (mIsLost(aFrom, aTo)) {
      return;
    }
    std::uniform_int_distribution<int> delay(
      1, 1 + static_cast<int>(mMaxDelay / kStep));
    mInFlight.emplace(
      mNow + kStep * delay(mRandom),
      InFlight{ aFrom, aTo, mIncarnations[aFrom], message.load_report() });
  }

  void DeliverDue()
  {
    while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
      auto const message = mInFlight.extract(mInFlight.begin()).mapped();
      auto& receiver = mVms[message.mTo];
      auto report = ReadLoadReport(message.mReport);
      if (!receiver || !report) {
        continue;
      }
      if (auto const answer =
            receiver->Handle(mNow,
                             { NameOf(message.mFrom), message.mIncarnation },
                             report.Take())) {
        Send(message.mTo, message.mFrom, *answer);
      }
    }
  }

  std::multimap<TimePoint, InFlight> mInFlight;
  std::map<std::size_t, std::uint64_t> mIncarnations; ///< By VM.
  std::uint64_t mLastIncarnation = 0;
  std::mt19937_64 mRandom{ 11 };
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_LOAD_EXCHANGE_GROUP_HPP_INCLUDED
