#include "tarragonsill/transport/tarragonsill_platform_client.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

namespace tarragonsill {

namespace {

constexpr milliseconds kBaseBackoff{ 100 };
constexpr milliseconds kMaxBackoff{ 5000 };
constexpr unsigned kMaxReadsAfterLostAnswer = 8;
constexpr std::size_t kMaxChanges = 32;
constexpr int kStatusOk = HttpConnection::kStatusOk;
constexpr int kStatusNotModified = 304;
constexpr int kStatusNotFound = 404;
constexpr int kStatusPreconditionFailed = 412;

std::string
ObjectPath(std::string const& aName)
{
  return "/v1/objects/" + aName;
}

Result<PlatformObject>
ParseObject(std::string const& aBody)
{
  auto const json = nlohmann::json::parse(aBody, nullptr, false);
  bool const valid = json.is_object() && json.contains("version") &&
                     json["version"].is_number_unsigned() &&
                     json.value("text", nlohmann::json()).is_string();
  if (!valid) {
    return Reason{
      ReasonCode::Malformed,
      "the platform's answer is not a JSON object with an unsigned "
      "'version' and a string 'text'"
    };
  }
  PlatformObject object;
  auto const era = json.value("era", nlohmann::json());
  object.mPosition = { era.is_number_unsigned() ? era.get<std::uint64_t>() : 0,
                       json["version"].get<std::uint64_t>() };
  object.mText = json["text"].get<std::string>();
  for (auto const& change : json.value("changes", nlohmann::json::array())) {
    object.mChanges.push_back(change.is_string() ? change.get<std::string>()
                                                 : std::string());
  }
  return object;
}

bool
HasChange(PlatformObject const& aObject, std::string const& aChangeId)
{
  return std::find(aObject.mChanges.begin(),
                   aObject.mChanges.end(),
                   aChangeId) != aObject.mChanges.end();
}

Result<WriteOutcome>
ToWriteOutcome(PlatformObject aCurrent,
               StorePosition aExpected,
               std::string const& aChangeId)
{
  bool const applied = HasChange(aCurrent, aChangeId);
  if (!applied && aCurrent.mPosition < aExpected) {
    return Reason{ ReasonCode::Conflict,
                   "the platform's store was rolled back and is at version " +
                     ToText(aCurrent.mPosition) +
                     "; the change is lost and must be made again" };
  }
  return WriteOutcome{ applied, std::move(aCurrent) };
}

Reason
StatusReason(int aStatus)
{
  auto const text =
    "the platform answered with HTTP status " + std::to_string(aStatus);
  return { aStatus == kStatusNotFound ? ReasonCode::NotFound
                                      : ReasonCode::Unavailable,
           text };
}

/// Returns a connection for one call. Calls are rare and come from several
/// threads, so connections are not reused.
HttpConnection
MakeConnection(Endpoint aAddress)
{
  HttpConnection::Options options;
  options.mAddress = aAddress;
  options.mKeepAlive = false;
  return HttpConnection(options);
}

Result<PlatformVm>
ParseVm(nlohmann::json const& aJson)
{
  auto const text = [&](char const* aKey) {
    auto const value = aJson.is_object() ? aJson.value(aKey, nlohmann::json())
                                         : nlohmann::json();
    return value.is_string() ? value.get<std::string>() : std::string();
  };
  PlatformVm vm;
  vm.mName = text("name");
  vm.mZone = text("zone");
  auto const control = ParseEndpoint(text("control"));
  if (vm.mName.empty() || !control) {
    return Reason{ ReasonCode::Malformed,
                   "an entry of the VM list needs a non-empty 'name' and an "
                   "ADDRESS:PORT as 'control'" };
  }
  vm.mControl = *control;
  auto const state = text("state");
  vm.mState = state == "leaving"   ? PlatformVm::State::Leaving
              : state == "removed" ? PlatformVm::State::Removed
                                   : PlatformVm::State::Live;
  return vm;
}

} // namespace

PlatformClient::PlatformClient(Options aOptions, Counters& aCounters)
  : mOptions(aOptions)
  , mCounters(aCounters)
  , mBudget(aOptions.mCallsPerSecond, aOptions.mCallsPerSecond)
  , mRandom(aOptions.mSeed)
{
}

Result<Success>
PlatformClient::AdmitCall()
{
  if (mOptions.mIsDenied && mOptions.mIsDenied(mOptions.mAddress)) {
    return Reason{ ReasonCode::Unavailable,
                   "the platform is in a denied network" };
  }
  std::lock_guard const lock(mMutex);
  if (!mBudget.Take(Clock::now())) {
    mCounters.Add(Counter::PlatformCallsOverBudget);
    return Reason{ ReasonCode::LimitReached,
                   "the budget for calls to the platform is exhausted" };
  }
  mCounters.Add(Counter::PlatformCalls);
  return Success{};
}

Result<HttpResponse>
PlatformClient::Get(std::string const& aPath, milliseconds aTimeout)
{
  if (auto const admitted = AdmitCall(); !admitted) {
    return admitted.LastReason();
  }
  auto answer = MakeConnection(mOptions.mAddress).Get(aPath, aTimeout);
  if (!answer) {
    mCounters.Add(Counter::PlatformFailures);
  }
  return answer;
}

Result<PlatformObject>
PlatformClient::Read(std::string const& aName)
{
  auto const answer = Get(ObjectPath(aName), mOptions.mTimeout);
  if (!answer) {
    return answer.LastReason();
  }
  if (answer->mStatus != kStatusOk) {
    return StatusReason(answer->mStatus);
  }
  return ParseObject(answer->mBody);
}

Result<PlatformObject>
PlatformClient::Watch(std::string const& aName,
                      StorePosition aNewerThan,
                      milliseconds aWait)
{
  auto const path = ObjectPath(aName) + "?newer_than=" + ToText(aNewerThan) +
                    "&wait_ms=" + std::to_string(aWait.count());
  auto const answer = Get(path, aWait + mOptions.mTimeout);
  if (!answer) {
    return answer.LastReason();
  }
  if (answer->mStatus == kStatusNotModified) {
    return Reason{ ReasonCode::Timeout, "the object has no newer version" };
  }
  if (answer->mStatus != kStatusOk) {
    return StatusReason(answer->mStatus);
  }
  return ParseObject(answer->mBody);
}

Result<WriteOutcome>
PlatformClient::Write(std::string const& aName,
                      PlatformObject const& aExpected,
                      std::string const& aChangeId,
                      std::string const& aText)
{
  if (auto const admitted = AdmitCall(); !admitted) {
    return admitted.LastReason();
  }
  auto changes = aExpected.mChanges;
  changes.push_back(aChangeId);
  if (changes.size() > kMaxChanges) {
    changes.erase(changes.begin());
  }
  nlohmann::json const body = { { "changes", changes }, { "text", aText } };
  auto const result = MakeConnection(mOptions.mAddress)
                        .Put(ObjectPath(aName),
                             { { "If-Match", ToText(aExpected.mPosition) } },
                             body.dump(),
                             mOptions.mTimeout);
  if (!result) {
    mCounters.Add(Counter::PlatformFailures);
    if (result.LastReason().mCode == ReasonCode::Unavailable) {
      return result.LastReason(); // The write was not sent.
    }
    return ResolveLostAnswer(aName, aExpected.mPosition, aChangeId);
  }
  if (result->mStatus >= 500) {
    return ResolveLostAnswer(aName, aExpected.mPosition, aChangeId);
  }
  if (result->mStatus != kStatusOk &&
      result->mStatus != kStatusPreconditionFailed) {
    return StatusReason(result->mStatus);
  }
  auto current = ParseObject(result->mBody);
  if (!current) {
    return current.LastReason();
  }
  return ToWriteOutcome(current.Take(), aExpected.mPosition, aChangeId);
}

Result<WriteOutcome>
PlatformClient::ResolveLostAnswer(std::string const& aName,
                                  StorePosition aExpected,
                                  std::string const& aChangeId)
{
  for (unsigned attempt = 0; attempt < kMaxReadsAfterLostAnswer; ++attempt) {
    std::this_thread::sleep_for(Backoff(attempt));
    auto current = Read(aName);
    if (!current) {
      continue;
    }
    if (current->mPosition == aExpected) {
      continue; // The write may still be in flight.
    }
    return ToWriteOutcome(current.Take(), aExpected, aChangeId);
  }
  return Reason{
    ReasonCode::Timeout,
    "the answer to the write was lost and reading the object did not show "
    "the change; change id " +
      aChangeId + " may still take effect"
  };
}

Result<std::vector<PlatformVm>>
PlatformClient::ListVms()
{
  auto const answer = Get("/v1/vms", mOptions.mTimeout);
  if (!answer) {
    return answer.LastReason();
  }
  if (answer->mStatus != kStatusOk) {
    return StatusReason(answer->mStatus);
  }
  auto const json = nlohmann::json::parse(answer->mBody, nullptr, false);
  if (!json.is_array()) {
    return Reason{ ReasonCode::Malformed, "the VM list is not a JSON array" };
  }
  std::vector<PlatformVm> vms;
  for (auto const& item : json) {
    auto vm = ParseVm(item);
    if (!vm) {
      return vm.LastReason();
    }
    vms.push_back(vm.Take());
  }
  return vms;
}

milliseconds
PlatformClient::Backoff(unsigned aFailures)
{
  auto const factor = 1U << std::min(aFailures, 10U);
  auto const maxBackoff = std::min(kMaxBackoff, kBaseBackoff * factor);
  std::lock_guard const lock(mMutex);
  std::uniform_int_distribution<milliseconds::rep> distribution(
    1, maxBackoff.count());
  return milliseconds{ distribution(mRandom) };
}

} // namespace tarragonsill
