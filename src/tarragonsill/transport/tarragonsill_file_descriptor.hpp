#ifndef TARRAGONSILL_FILE_DESCRIPTOR_HPP_INCLUDED
#define TARRAGONSILL_FILE_DESCRIPTOR_HPP_INCLUDED

#include <utility>

#include <unistd.h>

/// An owned file descriptor that is closed on destruction.
namespace tarragonsill {

class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aNumber)
    : mNumber(aNumber)
  {
  }
  FileDescriptor(FileDescriptor&& aOther) noexcept
    : mNumber(std::exchange(aOther.mNumber, -1))
  {
  }
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept
  {
    std::swap(mNumber, aOther.mNumber);
    return *this;
  }
  ~FileDescriptor()
  {
    if (mNumber >= 0) {
      ::close(mNumber);
    }
  }

  int Number() const { return mNumber; }
  bool IsOpen() const { return mNumber >= 0; }

private:
  int mNumber = -1;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FILE_DESCRIPTOR_HPP_INCLUDED
