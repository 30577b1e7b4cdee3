#ifndef TARRAGONSILL_FILE_ERRORS_HPP_INCLUDED
#define TARRAGONSILL_FILE_ERRORS_HPP_INCLUDED

#include <string>
#include <utility>
#include <vector>

/// Faults of a file that an operator wrote, each with file, line and key.
namespace tarragonsill {

struct FileError
{
  std::string mFile;
  int mLine = 0; ///< Counted from 1; 0 where no line can be named.
  std::string mKey;
  std::string mExpected;

  std::string ToText() const;
};

/// Collects the faults of one file.
class FileErrors
{
public:
  explicit FileErrors(std::string aFile)
    : mFile(std::move(aFile))
  {
  }
  void AddAtLine(int aLine, std::string aKey, std::string aExpected);
  std::vector<FileError> const& All() const { return mErrors; }
  /// One line each, without a break after the last one.
  std::string ToText() const;

private:
  std::string mFile;
  std::vector<FileError> mErrors;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FILE_ERRORS_HPP_INCLUDED
