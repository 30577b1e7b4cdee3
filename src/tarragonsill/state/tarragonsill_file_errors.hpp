#ifndef TARRAGONSILL_FILE_ERRORS_HPP_INCLUDED
#define TARRAGONSILL_FILE_ERRORS_HPP_INCLUDED

#include <string>
#include <utility>
#include <vector>

/// Errors in a file written by an operator, each with file, line and key.
namespace tarragonsill {

/// One error, printed as `FILE:LINE: key: text`.
struct FileError
{
  std::string mFile;
  int mLine = 0;         ///< Counted from 1; 0 if the line is not known.
  std::string mKey;      ///< Empty for the document as a whole.
  std::string mExpected; ///< What is expected, or what is wrong.

  std::string ToText() const;
};

/// Collects the errors of one file.
class FileErrors
{
public:
  explicit FileErrors(std::string aFile)
    : mFile(std::move(aFile))
  {
  }
  /// Adds an error; a line of 0 means that the line is not known.
  void AddAtLine(int aLine, std::string aKey, std::string aExpected);
  std::vector<FileError> const& All() const { return mErrors; }
  /// All errors, one per line, without a line break after the last one.
  std::string ToText() const;

private:
  std::string mFile;
  std::vector<FileError> mErrors;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FILE_ERRORS_HPP_INCLUDED
