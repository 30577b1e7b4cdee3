#include "tarragonsill_lab_object_store.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace tarragonsill::Lab {

namespace {

constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kServerThreads = 48;
constexpr std::size_t kItemsPerPage = 50;
/// Past states are kept this long.
constexpr seconds kMaxStateAge{ 30 };
constexpr char const* kEraHeader = "Store-Era";

struct Event
{
  std::string mKind;
  std::uint64_t mRevision = 0;
  nlohmann::json mBody;
};

std::uint64_t
QueryNumber(httplib::Request const& aRequest, char const* aName)
{
  auto const text = aRequest.get_param_value(aName);
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

struct ObjectStore::Impl
{
  using Objects = std::map<std::string, nlohmann::json>;

  struct State
  {
    std::map<std::string, Objects> mObjects; ///< By kind.
    StorePosition mPosition{ 1, 1 };
  };
  struct PastState
  {
    TimePoint mReplacedAt{}; ///< When the state stopped being current.
    State mState;
  };

  void Get(httplib::Request const& aRequest, httplib::Response& aResponse)
  {
    ++mCalls;
    std::string const kind = aRequest.matches[1];
    std::unique_lock lock(mMutex);
    if (mIsDown) {
      aResponse.status = kStatusUnavailable;
      SetEraHeader(mState, aResponse);
      return;
    }
    auto const body = aRequest.has_param("watch")
                        ? Watch(aRequest, kind, lock, aResponse)
                        : List(aRequest, kind, aResponse);
    if (body.is_object()) {
      aResponse.set_content(body.dump(), "application/json");
    }
  }

  void SetEraHeader(State const& aState, httplib::Response& aResponse) const
  {
    if (mSendsEra) {
      aResponse.set_header(kEraHeader, std::to_string(aState.mPosition.mEra));
    }
  }

  State& ReplicaFor(httplib::Request const& aRequest)
  {
    bool const allowsStale = aRequest.has_param("serializable");
    return allowsStale && mServesStaleReplica ? mStaleReplica : mState;
  }

  nlohmann::json List(httplib::Request const& aRequest,
                      std::string const& aKind,
                      httplib::Response& aResponse)
  {
    auto& replica = ReplicaFor(aRequest);
    auto const& objects = replica.mObjects[aKind];
    auto items = nlohmann::json::array();
    auto next = objects.upper_bound(aRequest.get_param_value("after"));
    for (; next != objects.end() && items.size() < kItemsPerPage; ++next) {
      items.push_back(next->second);
    }
    SetEraHeader(replica, aResponse);
    return { { "items", items },
             { "more", next != objects.end() },
             { "currentRev", replica.mPosition.mRevision } };
  }

  nlohmann::json Watch(httplib::Request const& aRequest,
                       std::string const& aKind,
                       std::unique_lock<std::mutex>& aLock,
                       httplib::Response& aResponse)
  {
    auto const from = QueryNumber(aRequest, "watch");
    auto events = nlohmann::json::array();
    auto const isGone = [&] {
      return from < mCompactedUpTo ||
             from > ReplicaFor(aRequest).mPosition.mRevision;
    };
    auto const collect = [&] {
      for (auto const& event : mEvents) {
        bool const isVisible =
          event.mRevision <= ReplicaFor(aRequest).mPosition.mRevision;
        if (event.mKind == aKind && event.mRevision > from && isVisible) {
          events.push_back(event.mBody);
        }
      }
      return !events.empty() || mIsDown || mStop || isGone();
    };
    mChanged.wait_for(
      aLock, milliseconds{ QueryNumber(aRequest, "waitMs") }, collect);
    auto const& replica = ReplicaFor(aRequest);
    SetEraHeader(replica, aResponse);
    if (mIsDown || isGone()) {
      aResponse.status = mIsDown ? kStatusUnavailable : kStatusGone;
      return nullptr;
    }
    return { { "events", events },
             { "currentRev", replica.mPosition.mRevision } };
  }

  void ApplyChange(std::string const& aKind,
                   std::string const& aName,
                   nlohmann::json const& aSpec,
                   bool aIsRemoval)
  {
    std::lock_guard const lock(mMutex);
    auto& objects = mState.mObjects[aKind];
    auto const existing = objects.find(aName);
    bool const isNoOp = aIsRemoval ? existing == objects.end()
                                   : existing != objects.end() &&
                                       existing->second["spec"] == aSpec;
    if (isNoOp) {
      return;
    }
    SaveState();
    auto const revision = ++mState.mPosition.mRevision;
    nlohmann::json const object = {
      { "meta", { { "name", aName }, { "revision", revision } } },
      { "spec", aSpec },
      { "status", nullptr }
    };
    if (aIsRemoval) {
      objects.erase(existing);
    } else {
      objects[aName] = object;
    }
    mEvents.push_back(
      { aKind,
        revision,
        { { "object", object }, { "tombstone", aIsRemoval } } });
    mChanged.notify_all();
  }

  /// Saves the current state before a change.
  void SaveState()
  {
    mPastStates.push_back({ Clock::now(), mState });
    while (mPastStates.front().mReplacedAt + kMaxStateAge < Clock::now()) {
      mPastStates.pop_front();
    }
  }

  httplib::Server mServer;
  std::thread mThread;
  std::atomic<std::uint64_t> mCalls{ 0 };
  std::mutex mMutex;
  std::condition_variable mChanged;
  State mState;
  State mStaleReplica;
  std::deque<PastState> mPastStates; ///< Oldest first.
  bool mSendsEra = true;
  bool mServesStaleReplica = false;
  std::vector<Event> mEvents;
  std::uint64_t mCompactedUpTo = 0;
  bool mIsDown = false;
  bool mStop = false;
};

ObjectStore::ObjectStore(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Result<std::unique_ptr<ObjectStore>>
ObjectStore::Start(Endpoint aAddress)
{
  auto impl = std::make_unique<Impl>();
  auto* const raw = impl.get();
  auto& server = impl->mServer;
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server.Get(R"(/objects/([a-z]+))",
             [raw](auto const& aRequest, auto& aResponse) {
               raw->Get(aRequest, aResponse);
             });
  if (!server.bind_to_port(ToText(aAddress.mAddress).c_str(), aAddress.mPort)) {
    return Reason{ ReasonCode::SystemFailure,
                   "the store stand-in cannot listen on " + ToText(aAddress) };
  }
  impl->mThread = std::thread([raw] { raw->mServer.listen_after_bind(); });
  while (!server.is_running()) {
    std::this_thread::sleep_for(milliseconds{ 1 });
  }
  return std::unique_ptr<ObjectStore>(new ObjectStore(std::move(impl)));
}

ObjectStore::~ObjectStore()
{
  {
    std::lock_guard const lock(mImpl->mMutex);
    mImpl->mStop = true;
  }
  mImpl->mChanged.notify_all();
  mImpl->mServer.stop();
  mImpl->mThread.join();
}

void
ObjectStore::Put(std::string const& aKind,
                 std::string const& aName,
                 nlohmann::json const& aSpec)
{
  mImpl->ApplyChange(aKind, aName, aSpec, false);
}

void
ObjectStore::PutNameless(std::string const& aKind, std::string const& aName)
{
  Put(aKind, aName, {});
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mState.mObjects[aKind][aName]["meta"].erase("name");
}

void
ObjectStore::Remove(std::string const& aKind, std::string const& aName)
{
  mImpl->ApplyChange(aKind, aName, nullptr, true);
}

void
ObjectStore::SetDown(bool aIsDown)
{
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mIsDown = aIsDown;
  mImpl->mChanged.notify_all();
}

void
ObjectStore::CompactHistory()
{
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mCompactedUpTo = mImpl->mState.mPosition.mRevision;
  mImpl->mEvents.clear();
  mImpl->mChanged.notify_all();
}

void
ObjectStore::CaptureStaleReplica()
{
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mStaleReplica = mImpl->mState;
}

void
ObjectStore::ServeStaleReplica(bool aIsStale)
{
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mServesStaleReplica = aIsStale;
}

void
ObjectStore::RollBack(milliseconds aAge)
{
  std::lock_guard const lock(mImpl->mMutex);
  auto const era = mImpl->mState.mPosition.mEra + 1;
  auto const at = Clock::now() - aAge;
  // The first state that was replaced after that time was current then.
  for (auto const& past : mImpl->mPastStates) {
    if (past.mReplacedAt > at) {
      mImpl->mState = past.mState;
      break;
    }
  }
  auto& position = mImpl->mState.mPosition;
  position.mEra = era;
  std::erase_if(mImpl->mEvents, [&](Event const& aEvent) {
    return aEvent.mRevision > position.mRevision;
  });
  mImpl->mCompactedUpTo = std::min(mImpl->mCompactedUpTo, position.mRevision);
  mImpl->mPastStates.clear();
  mImpl->mChanged.notify_all();
}

void
ObjectStore::OmitEra()
{
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mSendsEra = false;
}

StorePosition
ObjectStore::Position() const
{
  std::lock_guard const lock(mImpl->mMutex);
  return mImpl->mState.mPosition;
}

std::uint64_t
ObjectStore::CallCount() const
{
  return mImpl->mCalls;
}

} // namespace tarragonsill::Lab
