#include "tarragonsill/transport/tarragonsill_shortage_log.hpp"

namespace tarragonsill {

namespace {

std::vector<LogField>
CommonFields(ShortageEvent const& aEvent)
{
  return {
    { "service", aEvent.mService },
    { "utilisation", aEvent.mUtilisation },
    { "expected_wait_ms",
      static_cast<std::int64_t>(aEvent.mExpectedWait.count()) },
    { "load", std::string(aEvent.mIsShared ? "of_zone" : "own_answers") },
  };
}

void
WriteDecisions(NodeLog& aLog, ShortageEvent const& aEvent)
{
  for (auto const& counts : aEvent.mCounts) {
    bool const isIdempotent = counts.mClass.mKind == RequestKind::Idempotent;
    auto fields = CommonFields(aEvent);
    fields.emplace_back("priority",
                        static_cast<std::int64_t>(counts.mClass.mPriority));
    fields.emplace_back("kind",
                        std::string(isIdempotent ? "repeatable" : "one_time"));
    fields.emplace_back("rejected",
                        static_cast<std::int64_t>(counts.mRejected));
    fields.emplace_back("admitted",
                        static_cast<std::int64_t>(counts.mAdmitted));
    aLog.Write("steer", "overload", std::move(fields));
  }
}

} // namespace

void
WriteShortageEvents(NodeLog& aLog, std::vector<ShortageEvent> const& aEvents)
{
  for (auto const& event : aEvents) {
    switch (event.mKind) {
      case ShortageEvent::Kind::Began:
        aLog.Write("steer", "shortage_began", CommonFields(event));
        break;
      case ShortageEvent::Kind::Decided:
        WriteDecisions(aLog, event);
        break;
      case ShortageEvent::Kind::Ended:
        WriteDecisions(aLog, event);
        aLog.Write("steer", "shortage_ended", CommonFields(event));
        break;
    }
  }
}

} // namespace tarragonsill
