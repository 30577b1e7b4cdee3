#ifndef TARRAGONSILL_LAB_FABRIC_HPP_INCLUDED
#define TARRAGONSILL_LAB_FABRIC_HPP_INCLUDED

#include "tarragonsill_lab_callers.hpp"
#include "tarragonsill_lab_flow_upstream.hpp"

#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// A stand-in for the fabric. It sends each packet to an entry VM chosen at
/// random from the seed, and delivers packets from entry VMs by the inner
/// destination.
namespace tarragonsill::Lab {

/// An entry VM that the fabric sends packets to.
struct FabricTarget
{
  std::string mName;
  std::string mZone;
  Endpoint mData;
};

class Fabric
{
public:
  struct Options
  {
    Endpoint mAddress;
    double mLoss = 0; ///< Probability that a packet to an entry VM is lost.
    double mDuplicate = 0; ///< Probability that a packet is sent twice.
    double mReorder = 0;   ///< Probability that a packet is delayed.
    std::uint64_t mSeed = 1;
    Callers::Options mCallers;
  };

  /// Binds the fabric's socket. Fails with `SystemFailure`.
  static Result<std::unique_ptr<Fabric>> Create(
    Options aOptions,
    Configuration const& aConfiguration);
  ~Fabric();

  void Start();
  void SetTargets(std::vector<FabricTarget> aTargets);
  /// Cuts a zone off from the other zones, or reconnects it.
  void SetZoneCut(std::string const& aZone, bool aIsCut);
  void DrainUpstream(std::string const& aName, TimePoint aAcceptedAt);
  void MakeUpstreamCold(std::string const& aName);
  void EvacuateZone(std::string const& aZone, TimePoint aAcceptedAt);
  void RestoreZone(std::string const& aZone);
  /// Runs the final check of all flows, for at most `aTimeout`.
  void Finish(milliseconds aTimeout);
  FlowReport Report();

private:
  Fabric(Options aOptions,
         UdpSocket aSocket,
         Configuration const& aConfiguration);

  void Run();
  void HandleDatagram(TimePoint aNow, Datagram const& aDatagram);
  void SendToRandomEntry(std::vector<std::byte> aPacket,
                         std::string const& aFromZone);
  void SendTo(Endpoint aTarget, std::span<std::byte const> aPacket);
  void SendDelayedPackets(TimePoint aNow);
  bool DrawWithProbability(double aProbability);
  bool IsCut(std::string const& aLeft, std::string const& aRight) const;
  FlowUpstream* FindUpstream(Endpoint aAddress);
  std::set<std::uint32_t> UpstreamsInZone(std::string const& aZone) const;

  struct DelayedPacket
  {
    TimePoint mSendAt{};
    Endpoint mTarget;
    std::vector<std::byte> mPacket;
  };

  Options mOptions;
  UdpSocket mSocket;
  std::mutex mMutex; ///< Guards everything below.
  FlowReport mReport;
  std::vector<FlowUpstream> mUpstreams;
  std::vector<std::string> mServices;
  Callers mCallers;
  std::vector<FabricTarget> mTargets;
  std::set<std::string> mCutZones;
  std::vector<DelayedPacket> mDelayedPackets;
  std::mt19937_64 mRandom;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_FABRIC_HPP_INCLUDED
