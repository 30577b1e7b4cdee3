#include "tarragonsill/state/tarragonsill_file_errors.hpp"

namespace tarragonsill {

std::string
FileError::ToText() const
{
  auto text = mFile;
  if (mLine > 0) {
    text += ":" + std::to_string(mLine);
  }
  return text + ": " + (mKey.empty() ? "document" : mKey) + ": " + mExpected;
}

std::string
FileErrors::ToText() const
{
  std::string text;
  for (auto const& error : mErrors) {
    text += (text.empty() ? "" : "\n") + error.ToText();
  }
  return text;
}

void
FileErrors::AddAtLine(int aLine, std::string aKey, std::string aExpected)
{
  mErrors.push_back({ mFile, aLine, std::move(aKey), std::move(aExpected) });
}

} // namespace tarragonsill
