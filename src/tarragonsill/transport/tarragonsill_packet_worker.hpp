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

/// The thread that forwards packets. It exchanges state with the control plane
/// under a mutex that it only tries to lock, so it never waits.
namespace tarragonsill {

/// State that the control plane passes to the worker.
struct WorkerUpdate
{
  std::shared_ptr<SteeringSnapshot const> mSnapshot; ///< Null: unchanged.
  std::shared_ptr<AdmissionLeases const> mLeases;    ///< Null: unchanged.
  std::uint64_t mLeasesRevision = 0;
  std::vector<ExceptionTransfer> mExceptions;
  /// The denied networks; unset: unchanged.
  std::optional<std::vector<Prefix>> mDenied;
};

/// State that the worker reports to the control plane.
struct WorkerReport
{
  std::vector<UpstreamOpenWork> mOpenWork;
  std::uint64_t mLeasesRevision = 0;
  std::vector<ExceptionTransfer> mTransfers;
  std::vector<DecisionRecord> mDecisions;
  std::size_t mExceptions = 0;
  std::size_t mMemoryBytes = 0;
  /// Increases with every report.
  std::uint64_t mNumber = 0;
};

class PacketWorker
{
public:
  /// Binds the data socket and starts the thread.
  static Result<std::unique_ptr<PacketWorker>> Start(Settings const& aSettings,
                                                     Counters& aCounters);
  ~PacketWorker();

  /// Merges an update into the one that the worker applies next.
  void Post(WorkerUpdate aUpdate);
  /// Returns the latest report with the transfers and decisions since the last
  /// call.
  WorkerReport TakeReport();

private:
  PacketWorker(Settings const& aSettings,
               Counters& aCounters,
               UdpSocket aSocket);

  void Run();
  /// Drops all packets queued in the socket. `aAlreadyRead` is the number of
  /// packets already read, which count as dropped, too.
  void DropQueued(std::size_t aAlreadyRead);
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
