#include "tarragonsill_lab_calls.hpp"

#include <grpcpp/grpcpp.h>
#include <tarragonsill_calls.grpc.pb.h>

namespace tarragonsill::Lab {

namespace {

constexpr std::uint32_t kAnswersPerSlot = 8;
constexpr milliseconds kShutdownGrace{ 100 };
constexpr int kMinServiceMilliseconds = 2;
constexpr int kMaxServiceMilliseconds = 12;
/// One call in this many takes `kLateServiceTime`, longer than the deadline of
/// its caller.
constexpr std::uint64_t kLateInterval = 500;
constexpr milliseconds kLateServiceTime{ 3500 };

} // namespace

class CallUpstreams::Server final : public wire::Upstream::Service
{
public:
  Server(Upstream aUpstream, CallExecutions& aExecutions, std::uint64_t aSeed)
    : mUpstream(std::move(aUpstream))
    , mExecutions(aExecutions)
    , mRandom(aSeed)
    , mSlowStart(mUpstream.mColdLimit.mSlots,
                 mUpstream.mLimit.mSlots,
                 kAnswersPerSlot)
  {
  }
  ~Server() override
  {
    if (mServer) {
      mServer->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
    }
  }

  bool Listen()
  {
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(ToText(mUpstream.mCallAddress),
                             grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    mServer = builder.BuildAndStart();
    return mServer != nullptr;
  }

  grpc::Status Run(grpc::ServerContext* aContext,
                   wire::CallRequest const* aRequest,
                   wire::CallReply* aReply) override
  {
    milliseconds serviceTime{ 0 };
    if (!Admit(serviceTime)) {
      return { grpc::StatusCode::RESOURCE_EXHAUSTED, "refused before running" };
    }
    mExecutions.Record(aRequest->call_id());
    auto const end = Clock::now() + serviceTime;
    while (Clock::now() < end && !aContext->IsCancelled()) {
      std::this_thread::sleep_for(milliseconds{ 1 });
    }
    Release();
    aReply->set_call_id(aRequest->call_id());
    aReply->set_body("answer to " + aRequest->body());
    return grpc::Status::OK;
  }

  Upstream const& Declaration() const { return mUpstream; }
  void RecordDrain(TimePoint aAcceptedAt)
  {
    std::lock_guard const lock(mMutex);
    mDrainAcceptedAt = aAcceptedAt;
  }
  void SetZoneOut(std::optional<TimePoint> aAcceptedAt)
  {
    std::lock_guard const lock(mMutex);
    mZoneOutAcceptedAt = aAcceptedAt;
  }
  void BecomeCold()
  {
    std::lock_guard const lock(mMutex);
    mSlowStart.BecomeCold();
    for (std::uint32_t call = 0; call < mInProgress; ++call) {
      mSlowStart.RecordStart();
    }
    mIsColdUnannounced = true;
    mFirstRefusedAt.reset();
  }
  void AddCountsTo(CallReport& aReport)
  {
    std::lock_guard const lock(mMutex);
    aReport.mLimitExceeded += mLimitExceeded;
    aReport.mNewWorkAfterDrain += mNewWorkAfterDrain;
    aReport.mToEvacuatedZoneLate += mToEvacuatedZoneLate;
  }

private:
  bool Admit(milliseconds& aServiceTime)
  {
    std::lock_guard const lock(mMutex);
    auto const now = Clock::now();
    if (mDrainAcceptedAt && now - *mDrainAcceptedAt > kChangeAllowance) {
      ++mNewWorkAfterDrain;
    }
    if (mZoneOutAcceptedAt && now - *mZoneOutAcceptedAt > kChangeAllowance) {
      ++mToEvacuatedZoneLate;
    }
    if (mInProgress >= mUpstream.mLimit.mSlots) {
      ++mLimitExceeded;
      return false;
    }
    if (!mSlowStart.HasCapacity()) {
      bool const isSignalled =
        mFirstRefusedAt && now - *mFirstRefusedAt > kColdSignalAllowance;
      mLimitExceeded += !mIsColdUnannounced || isSignalled ? 1 : 0;
      mFirstRefusedAt = mFirstRefusedAt.value_or(now);
      return false;
    }
    ++mInProgress;
    mSlowStart.RecordStart();
    std::uniform_int_distribution<int> distribution(kMinServiceMilliseconds,
                                                    kMaxServiceMilliseconds);
    aServiceTime = milliseconds{ distribution(mRandom) };
    if (mRandom() % kLateInterval == 0) {
      aServiceTime = kLateServiceTime;
    }
    return true;
  }

  void Release()
  {
    std::lock_guard const lock(mMutex);
    --mInProgress;
    mSlowStart.RecordEnd();
    mSlowStart.RecordAnswer();
  }

  Upstream mUpstream;
  CallExecutions& mExecutions;
  std::mutex mMutex;
  std::mt19937_64 mRandom;
  SlowStart mSlowStart;
  std::uint32_t mInProgress = 0;
  std::optional<TimePoint> mDrainAcceptedAt;
  std::optional<TimePoint> mZoneOutAcceptedAt;
  std::optional<TimePoint> mFirstRefusedAt;
  bool mIsColdUnannounced = false;
  std::uint64_t mLimitExceeded = 0;
  std::uint64_t mNewWorkAfterDrain = 0;
  std::uint64_t mToEvacuatedZoneLate = 0;
  std::unique_ptr<grpc::Server> mServer;
};

Result<std::unique_ptr<CallUpstreams>>
CallUpstreams::Start(Configuration const& aConfiguration,
                     CallExecutions& aExecutions,
                     std::uint64_t aSeed)
{
  std::unique_ptr<CallUpstreams> upstreams(new CallUpstreams());
  for (auto const& service : aConfiguration.mServices) {
    for (auto const& upstream : service.mUpstreams) {
      auto server = std::make_unique<Server>(
        upstream, aExecutions, MixHash(aSeed, HashText(upstream.mName)));
      if (!server->Listen()) {
        return Reason{ ReasonCode::SystemFailure,
                       "upstream " + upstream.mName + " cannot listen on " +
                         ToText(upstream.mCallAddress) };
      }
      upstreams->mServers.push_back(std::move(server));
    }
  }
  return upstreams;
}

CallUpstreams::~CallUpstreams() = default;

void
CallUpstreams::DrainUpstream(std::string const& aName, TimePoint aAcceptedAt)
{
  for (auto& server : mServers) {
    if (server->Declaration().mName == aName) {
      server->RecordDrain(aAcceptedAt);
    }
  }
}

void
CallUpstreams::MakeUpstreamCold(std::string const& aName)
{
  for (auto& server : mServers) {
    if (server->Declaration().mName == aName) {
      server->BecomeCold();
    }
  }
}

void
CallUpstreams::EvacuateZone(std::string const& aZone, TimePoint aAcceptedAt)
{
  for (auto& server : mServers) {
    if (server->Declaration().mZone == aZone) {
      server->SetZoneOut(aAcceptedAt);
    }
  }
}

void
CallUpstreams::RestoreZone(std::string const& aZone)
{
  for (auto& server : mServers) {
    if (server->Declaration().mZone == aZone) {
      server->SetZoneOut(std::nullopt);
    }
  }
}

void
CallUpstreams::AddCountsTo(CallReport& aReport) const
{
  for (auto const& server : mServers) {
    server->AddCountsTo(aReport);
  }
}

} // namespace tarragonsill::Lab
