#ifndef TARRAGONSILL_NODE_LOG_HPP_INCLUDED
#define TARRAGONSILL_NODE_LOG_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_counters.hpp"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

/// The structured log of an entry VM: one JSON object per line on standard
/// output. Writers never block: lines go through a bounded queue, and lines
/// that do not fit are dropped and counted.
namespace tarragonsill {

/// A key and its value in a log line.
using LogField =
  std::pair<char const*, std::variant<std::string, std::int64_t, double>>;

class NodeLog
{
public:
  NodeLog(std::string aVmName, Counters& aCounters);
  ~NodeLog();

  /// Queues a line about an event in a part of the process, for instance
  /// `steer`. Thread-safe.
  void Write(char const* aPart,
             char const* aEvent,
             std::vector<LogField> aFields);

private:
  struct Line
  {
    std::int64_t mUnixMilliseconds = 0;
    char const* mPart = "";
    char const* mEvent = "";
    std::vector<LogField> mFields;
  };

  void Run();
  void Print(Line const& aLine) const;

  std::string mVmName;
  Counters& mCounters;
  std::mutex mMutex;
  std::condition_variable mWakeUp;
  std::vector<Line> mQueue;
  bool mStop = false;
  std::thread mThread;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_LOG_HPP_INCLUDED
