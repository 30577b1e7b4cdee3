#include "tarragonsill_lab_platform.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace tarragonsill::Lab {

namespace {

constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;
constexpr milliseconds kMaxWait{ 5000 };
constexpr std::size_t kServerThreads = 48;

struct Object
{
  /// The version, and the era in which it was written.
  StorePosition mPosition;
  nlohmann::json mBody;
};

using Objects = std::map<std::string, Object>;

/// Parses "ERA:VERSION" or "VERSION". Returns an unset position for other text.
StorePosition
ReadPosition(std::string const& aText)
{
  auto const colon = aText.find(':');
  auto const number = [](std::string const& aPart) {
    return std::strtoull(aPart.c_str(), nullptr, 10);
  };
  return colon == std::string::npos
           ? StorePosition{ 0, number(aText) }
           : StorePosition{ number(aText.substr(0, colon)),
                            number(aText.substr(colon + 1)) };
}

struct ListedVm
{
  PlatformVm mVm;
  TimePoint mVisibleAt{};
};

char const*
StateText(PlatformVm::State aState)
{
  switch (aState) {
    case PlatformVm::State::Live:
      return "live";
    case PlatformVm::State::Leaving:
      return "leaving";
    case PlatformVm::State::Removed:
      return "removed";
  }
  return "";
}

} // namespace

struct Platform::Impl
{
  std::string Render(Object const& aObject) const
  {
    auto json = aObject.mBody;
    json["version"] = aObject.mPosition.mRevision;
    json["era"] = aObject.mPosition.mEra;
    return json.dump();
  }

  /// Counts and delays a call. Returns false if the platform is down.
  bool BeginCall(httplib::Response& aResponse)
  {
    ++mCalls;
    std::this_thread::sleep_for(mDelay.load());
    if (mDown) {
      aResponse.status = kUnavailable;
    }
    return !mDown;
  }

  void Get(httplib::Request const& aRequest, httplib::Response& aResponse)
  {
    if (!BeginCall(aResponse)) {
      return;
    }
    auto const newerThan = ReadPosition(aRequest.get_param_value("newer_than"));
    auto const wait =
      std::min(kMaxWait, milliseconds{ NumberParameter(aRequest, "wait_ms") });
    std::unique_lock lock(mMutex);
    auto const& object = mObjects[aRequest.matches[1]];
    mChanged.wait_for(
      lock, wait, [&] { return object.mPosition > newerThan || mDown; });
    if (mDown) {
      aResponse.status = kUnavailable;
    } else if (!object.mPosition.IsSet()) {
      aResponse.status = kNotFound;
    } else if (wait.count() > 0 && object.mPosition <= newerThan) {
      aResponse.status = kNotModified;
    } else {
      aResponse.set_content(Render(object), "application/json");
    }
  }

  void Put(httplib::Request const& aRequest, httplib::Response& aResponse)
  {
    if (!BeginCall(aResponse)) {
      return;
    }
    auto const body = nlohmann::json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      aResponse.status = kBadRequest;
      return;
    }
    std::lock_guard const lock(mMutex);
    auto& object = mObjects[aRequest.matches[1]];
    auto const expected = aRequest.get_header_value("If-Match");
    if (expected != ToText(object.mPosition)) {
      aResponse.status = kPreconditionFailed;
      aResponse.set_content(Render(object), "application/json");
      return;
    }
    mHistory.push_back({ Clock::now(), mObjects });
    object.mPosition = { mEra, object.mPosition.mRevision + 1 };
    object.mBody = body;
    mChanged.notify_all();
    if (mLoseNextWriteAnswer.exchange(false)) {
      aResponse.status = kUnavailable;
      return;
    }
    aResponse.set_content(Render(object), "application/json");
  }

  void ListVms(httplib::Response& aResponse)
  {
    if (!BeginCall(aResponse)) {
      return;
    }
    std::lock_guard const lock(mMutex);
    std::map<std::string, nlohmann::json> visible;
    for (auto const& listed : mVms) {
      if (listed.mVisibleAt > Clock::now()) {
        continue;
      }
      visible[listed.mVm.mName] = { { "name", listed.mVm.mName },
                                    { "zone", listed.mVm.mZone },
                                    { "control", ToText(listed.mVm.mControl) },
                                    { "state", StateText(listed.mVm.mState) } };
    }
    auto json = nlohmann::json::array();
    for (auto const& [name, vm] : visible) {
      json.push_back(vm);
    }
    aResponse.set_content(json.dump(), "application/json");
  }

  static std::uint64_t NumberParameter(httplib::Request const& aRequest,
                                       char const* aName)
  {
    auto const text = aRequest.get_param_value(aName);
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
  }

  httplib::Server mServer;
  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mChanged;
  Objects mObjects;
  std::uint64_t mEra = 0;
  /// Earlier states of all objects, each with the time it was replaced.
  std::vector<std::pair<TimePoint, Objects>> mHistory;
  /// In order of time; a later entry of a VM replaces an earlier one.
  std::vector<ListedVm> mVms;
  milliseconds mListLag{ 0 };
  std::atomic<bool> mDown{ false };
  std::atomic<bool> mLoseNextWriteAnswer{ false };
  std::atomic<milliseconds> mDelay{ milliseconds{ 0 } };
  std::atomic<std::uint64_t> mCalls{ 0 };
};

Platform::Platform(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Result<std::unique_ptr<Platform>>
Platform::Start(Endpoint aAddress, milliseconds aListLag)
{
  auto impl = std::make_unique<Impl>();
  auto* const raw = impl.get();
  raw->mListLag = aListLag;
  raw->mServer.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  constexpr char const* kObjectPath = R"(/v1/objects/([\w-]+))";
  raw->mServer.Get(kObjectPath, [raw](auto const& aRequest, auto& aResponse) {
    raw->Get(aRequest, aResponse);
  });
  raw->mServer.Put(kObjectPath, [raw](auto const& aRequest, auto& aResponse) {
    raw->Put(aRequest, aResponse);
  });
  raw->mServer.Get("/v1/vms", [raw](auto const&, auto& aResponse) {
    raw->ListVms(aResponse);
  });
  auto const host = ToText(aAddress.mAddress);
  if (!raw->mServer.bind_to_port(host.c_str(), aAddress.mPort)) {
    return Reason{ ReasonCode::SystemFailure,
                   "the platform stand-in cannot listen on " +
                     ToText(aAddress) };
  }
  raw->mThread = std::thread([raw] { raw->mServer.listen_after_bind(); });
  // A server that is stopped before it runs never stops.
  while (!raw->mServer.is_running()) {
    std::this_thread::sleep_for(milliseconds{ 1 });
  }
  return std::unique_ptr<Platform>(new Platform(std::move(impl)));
}

Platform::~Platform()
{
  SetDown(true);
  mImpl->mServer.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

void
Platform::SetDown(bool aDown)
{
  mImpl->mDown = aDown;
  mImpl->mChanged.notify_all();
}

void
Platform::SetDelay(milliseconds aDelay)
{
  mImpl->mDelay = aDelay;
}

void
Platform::RollBack(milliseconds aAge)
{
  std::lock_guard const lock(mImpl->mMutex);
  auto const restoreTime = Clock::now() - aAge;
  for (auto const& [replacedAt, objects] : mImpl->mHistory) {
    if (replacedAt > restoreTime) {
      mImpl->mObjects = objects;
      break;
    }
  }
  mImpl->mHistory.clear();
  ++mImpl->mEra;
  mImpl->mChanged.notify_all();
}

void
Platform::LoseNextWriteAnswer()
{
  mImpl->mLoseNextWriteAnswer = true;
}

void
Platform::ListVm(PlatformVm aVm)
{
  std::lock_guard const lock(mImpl->mMutex);
  mImpl->mVms.push_back({ std::move(aVm), Clock::now() + mImpl->mListLag });
}

std::uint64_t
Platform::CallCount() const
{
  return mImpl->mCalls;
}

} // namespace tarragonsill::Lab
