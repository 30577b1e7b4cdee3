#include "tarragonsill/transport/tarragonsill_node_log.hpp"

#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <chrono>

#include <nlohmann/json.hpp>

namespace tarragonsill {

namespace {

/// Further lines are dropped.
constexpr std::size_t kMaxQueuedLines = 2000;
/// Lines are written in batches, so that a burst wakes the thread only once.
constexpr std::chrono::milliseconds kBatchDelay{ 100 };

} // namespace

NodeLog::NodeLog(std::string aVmName, Counters& aCounters)
  : mVmName(std::move(aVmName))
  , mCounters(aCounters)
  , mThread([this] { Run(); })
{
}

NodeLog::~NodeLog()
{
  {
    std::lock_guard const lock(mMutex);
    mStop = true;
  }
  mWakeUp.notify_one();
  mThread.join();
}

void
NodeLog::Write(char const* aPart,
               char const* aEvent,
               std::vector<LogField> aFields)
{
  auto const time = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  bool wasEmpty = false;
  {
    std::lock_guard const lock(mMutex);
    if (mQueue.size() >= kMaxQueuedLines) {
      mCounters.Add(Counter::LogLinesDropped);
      return;
    }
    wasEmpty = mQueue.empty();
    mQueue.push_back({ time.count(), aPart, aEvent, std::move(aFields) });
  }
  if (wasEmpty) {
    mWakeUp.notify_one();
  }
}

void
NodeLog::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStop || !mQueue.empty()) {
    mWakeUp.wait(lock, [&] { return mStop || !mQueue.empty(); });
    if (!mStop) {
      lock.unlock();
      std::this_thread::sleep_for(kBatchDelay);
      lock.lock();
    }
    std::vector<Line> lines;
    lines.swap(mQueue);
    lock.unlock();
    for (auto const& line : lines) {
      Print(line);
    }
    lock.lock();
  }
}

void
NodeLog::Print(Line const& aLine) const
{
  nlohmann::ordered_json object;
  object["time_ms"] = aLine.mUnixMilliseconds;
  object["vm"] = mVmName;
  object["part"] = aLine.mPart;
  object["event"] = aLine.mEvent;
  for (auto const& [name, value] : aLine.mFields) {
    std::visit([&, key = name](auto const& aValue) { object[key] = aValue; },
               value);
  }
  // Texts from other programs may contain bytes that are not valid UTF-8.
  LogInfo(object.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

} // namespace tarragonsill
