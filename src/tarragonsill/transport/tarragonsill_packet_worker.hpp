#ifndef TARRAGONSILL_PACKET_WORKER_HPP_INCLUDED
#define TARRAGONSILL_PACKET_WORKER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"
#include "tarragonsill/protocol/tarragonsill_settings.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/// The thread that carries packets. It exchanges state with the coordination
/// through a mailbox and never waits for it.
namespace tarragonsill {

/// What the coordination hands to the worker.
struct WorkerUpdate
{
  std::shared_ptr<SteeringSnapshot const> mSnapshot; ///< Null: unchanged.
  std::shared_ptr<AdmissionLeases const> mLeases;    ///< Null: unchanged.
  std::uint64_t mLeasesRevision = 0;
  std::vector<ExceptionTransfer> mExceptions;
  /// The networks that are fenced off; empty: unchanged.
  std::optional<std::vector<Prefix>> mDenied;
};

/// What the worker reports back.
struct WorkerReport
{
  std::vector<UpstreamOpenWork> mOpenWork;
  std::uint64_t mLeasesRevision = 0;
  std::vector<ExceptionTransfer> mTransfers;
  std::vector<DecisionRecord> mDecisions;
  std::size_t mExceptions = 0;
  std::size_t mMemoryBytes = 0;
  /// Rises with every report.
  std::uint64_t mNumber = 0;
};

class PacketWorker
{
public:
  /// Binds the data socket and starts the thread.
  static Result<std::unique_ptr<PacketWorker>> Start(Settings const& aSettings,
                                                     Counters& aCounters);
  ~PacketWorker();

  void Post(WorkerUpdate aUpdate);
  /// Takes what was reported since the last call; the counts are current ones.
  WorkerReport TakeReport();

private:
  PacketWorker(Settings const& aSettings,
               Counters& aCounters,
               UdpSocket aSocket);

  void Run();
  /// Drops what waited in the socket, after `aFirst` packets already read.
  void DropQueued(std::size_t aFirst);
  void ApplyPendingUpdate(TimePoint aNow);
  void Report();
  void HandleBatch(TimePoint aNow, std::span<Datagram const> aBatch);
  void HandleDatagram(TimePoint aNow,
                      Datagram const& aDatagram,
                      std::span<std::byte, kMaxGeneveBytes> aHeader);
  void SendCopy(PacketAction const& aAction, PacketView const& aPacket);
  bool IsFabric(Endpoint aFrom) const;
  bool IsPeer(Endpoint aFrom) const;

  Settings mSettings;
  Counters& mCounters;
  UdpSocket mSocket;
  PacketEngine mEngine;

  std::mutex mMutex;
  WorkerUpdate mPendingUpdate;
  WorkerReport mReport;
  std::atomic<bool> mHasPendingUpdate{ false };
  std::uint64_t mAppliedRevision = 0;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PACKET_WORKER_HPP_INCLUDED
