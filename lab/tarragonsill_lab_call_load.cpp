#include "tarragonsill_lab_calls.hpp"

#include "tarragonsill/transport/tarragonsill_call_channels.hpp"

#include <algorithm>

namespace tarragonsill::Lab {

namespace {

constexpr unsigned kWorkers = 24;
constexpr milliseconds kDeadline{ 3000 };
constexpr std::uint32_t kMaxAttempts = 3;
/// One answered call in this many is sent a second time.
constexpr std::uint64_t kRepeatInterval = 20;

} // namespace

struct CallLoad::Channels
{
  CallChannels mChannels{ [](Endpoint) { return false; } };
};

CallLoad::CallLoad(Options aOptions, CallExecutions& aExecutions)
  : mOptions(std::move(aOptions))
  , mExecutions(aExecutions)
  , mChannels(std::make_unique<Channels>())
{
}

CallLoad::~CallLoad()
{
  Stop();
}

void
CallLoad::Start()
{
  mStarted = Clock::now();
  for (unsigned worker = 0; worker < kWorkers; ++worker) {
    mWorkers.emplace_back([this, worker] { Run(worker); });
  }
}

void
CallLoad::SetTargets(std::vector<Endpoint> aTargets)
{
  std::lock_guard const lock(mMutex);
  mTargets = std::move(aTargets);
}

void
CallLoad::Stop()
{
  mStop = true;
  for (auto& worker : mWorkers) {
    if (worker.joinable()) {
      worker.join();
    }
  }
}

void
CallLoad::Run(unsigned aWorker)
{
  std::mt19937_64 random(MixHash(mOptions.mSeed, aWorker));
  while (!mStop && mOptions.mRate > 0) {
    auto const number = mNextNumber++;
    auto const due =
      mStarted + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(number / mOptions.mRate));
    while (!mStop && Clock::now() < due) {
      std::this_thread::sleep_for(
        std::min<Duration>(due - Clock::now(), milliseconds{ 50 }));
    }
    if (mStop) {
      return;
    }
    Call call;
    call.mId =
      "call-" + std::to_string(mOptions.mSeed) + "-" + std::to_string(number);
    call.mIdempotent = random() % 2 == 0;
    RunCall(call, random);
    std::lock_guard const lock(mMutex);
    mCalls.push_back(std::move(call));
  }
}

void
CallLoad::RunCall(Call& aCall, std::mt19937_64& aRandom)
{
  auto const service =
    mOptions.mServices[aRandom() % mOptions.mServices.size()];
  auto const started = Clock::now();
  for (std::uint32_t attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    auto const outcome = Attempt(aCall, service, attempt, aRandom);
    aCall.mAnswered = aCall.mAnswered || outcome == wire::ANSWERED;
    aCall.mReportedNotRun = outcome == wire::NOT_RUN;
    aCall.mUnknown = outcome == wire::UNKNOWN || !outcome;
    bool const sendAgain = aCall.mUnknown || (aCall.mAnswered && attempt == 1 &&
                                              aRandom() % kRepeatInterval == 0);
    if (!sendAgain) {
      break;
    }
  }
  aCall.mElapsed = Clock::now() - started;
}

std::optional<int>
CallLoad::Attempt(Call& aCall,
                  std::string const& aService,
                  std::uint32_t aAttempt,
                  std::mt19937_64& aRandom)
{
  Endpoint target;
  {
    std::lock_guard const lock(mMutex);
    if (mTargets.empty()) {
      return std::nullopt;
    }
    target = mTargets[aRandom() % mTargets.size()];
  }
  wire::CallRequest request;
  request.set_service(aService);
  request.set_call_id(aCall.mId);
  request.set_idempotent(aCall.mIdempotent);
  request.set_attempt(aAttempt);
  request.set_body(aCall.mId);
  auto const stub = wire::Calls::NewStub(mChannels->mChannels.To(target));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kDeadline);
  wire::CallReply reply;
  if (!stub->Submit(&context, request, &reply).ok()) {
    return std::nullopt;
  }
  bool const isWrongAnswer =
    reply.outcome() == wire::ANSWERED &&
    (reply.call_id() != aCall.mId || reply.body() != "answer to " + aCall.mId);
  aCall.mHasWrongAnswer = aCall.mHasWrongAnswer || isWrongAnswer;
  return reply.outcome();
}

CallReport
CallLoad::Report()
{
  std::lock_guard const lock(mMutex);
  CallReport report;
  std::vector<double> times;
  for (auto const& call : mCalls) {
    auto const runs = mExecutions.Count(call.mId);
    ++report.mSent;
    report.mAnswered += call.mAnswered ? 1 : 0;
    report.mNotRun += call.mReportedNotRun && !call.mAnswered ? 1 : 0;
    report.mUnknown += call.mUnknown && !call.mAnswered ? 1 : 0;
    report.mRunTwice += !call.mIdempotent && runs > 1 ? 1 : 0;
    report.mNotRunButRan += call.mReportedNotRun && runs > 0 ? 1 : 0;
    report.mAnswersCrossed += call.mHasWrongAnswer ? 1 : 0;
    times.push_back(
      std::chrono::duration<double, std::milli>(call.mElapsed).count());
  }
  if (!times.empty()) {
    auto const position =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), position, times.end());
    report.mP99Milliseconds = *position;
  }
  return report;
}

} // namespace tarragonsill::Lab
