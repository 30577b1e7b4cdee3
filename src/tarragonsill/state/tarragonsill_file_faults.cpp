#include "tarragonsill/state/tarragonsill_file_faults.hpp"

namespace tarragonsill {

std::string
FileFault::ToText() const
{
  auto text = mFile;
  if (mLine > 0) {
    text += ":" + std::to_string(mLine);
  }
  return text + ": " + (mKey.empty() ? "document" : mKey) + ": " + mExpected;
}

std::string
FileFaults::ToText() const
{
  std::string text;
  for (auto const& fault : mFaults) {
    text += (text.empty() ? "" : "\n") + fault.ToText();
  }
  return text;
}

void
FileFaults::AddAtLine(int aLine, std::string aKey, std::string aExpected)
{
  mFaults.push_back({ mFile, aLine, std::move(aKey), std::move(aExpected) });
}

} // namespace tarragonsill
