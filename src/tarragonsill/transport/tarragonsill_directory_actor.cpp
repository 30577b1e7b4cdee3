#include "tarragonsill/transport/tarragonsill_directory_actor.hpp"

namespace tarragonsill {

namespace {

constexpr milliseconds kTick{ 100 };

class DirectoryPart
{
public:
  explicit DirectoryPart(DirectoryActorArguments aArguments)
    : mArguments(std::move(aArguments))
    , mDirectory(mArguments.mState->mSettings)
  {
  }

  void Take(StoreNews const& aNews)
  {
    auto& log = mArguments.mState->mLog;
    for (auto const& change : mDirectory.Apply(Clock::now(), aNews)) {
      log.Write("config",
                "belief_changed",
                { { "kind", change.mWhat },
                  { "name", change.mSubject },
                  { "outcome", change.mOutcome },
                  { "revision", static_cast<std::int64_t>(change.mRevision) },
                  { "source", aNews.mIsWholeList ? "list" : "watch" } });
    }
    PublishIfChanged();
  }

  void Note(StoreAnswered const& aAnswer)
  {
    mAnswers[static_cast<std::size_t>(aAnswer.mKind)] = aAnswer.mAnswered;
    bool const answers = std::any_of(
      mAnswers.begin(), mAnswers.end(), [](bool aAny) { return aAny; });
    mDirectory.NoteStore(Clock::now(), answers);
  }

  void PublishIfChanged()
  {
    auto const now = Clock::now();
    if (!mDirectory.HasChanged(now)) {
      return;
    }
    mArguments.mPublish(mDirectory.BuildView(now));
    if (mDirectory.IsComplete() &&
        !mArguments.mState->mIsComplete.exchange(true)) {
      mArguments.mState->mLog.Write(
        "entry",
        "ready",
        { { "version",
            static_cast<std::int64_t>(mDirectory.ConfigurationVersion()) } });
    }
  }

private:
  static constexpr std::size_t kKinds = 3;

  DirectoryActorArguments mArguments;
  Directory mDirectory;
  std::array<bool, kKinds> mAnswers{ true, true, true };
};

} // namespace

caf::behavior
DirectoryActor(caf::event_based_actor* aSelf,
               DirectoryActorArguments aArguments)
{
  auto const part = std::make_shared<DirectoryPart>(std::move(aArguments));
  aSelf->delayed_send(aSelf, kTick, TickAtom::value);
  return {
    [part](StoreNewsReceived const& aNews) { part->Take(*aNews.mNews); },
    [part](StoreAnswered const& aAnswer) { part->Note(aAnswer); },
    [part, aSelf](TickAtom) {
      part->PublishIfChanged();
      aSelf->delayed_send(aSelf, kTick, TickAtom::value);
    },
  };
}

} // namespace tarragonsill
