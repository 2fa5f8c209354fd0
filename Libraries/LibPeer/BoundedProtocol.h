#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <thrift/protocol/TBinaryProtocol.h>

namespace sesameseam {

// What the texts of calls take that are being read or served, on all connections together.
class CallBytes
{
public:
  explicit CallBytes(std::size_t aMax)
    : mMax(aMax)
  {
  }

  [[nodiscard]] bool TryTake(std::size_t aBytes);
  void Take(std::size_t aBytes) { mTaken += aBytes; }
  void Give(std::size_t aBytes) { mTaken -= aBytes; }

private:
  std::size_t mMax;
  std::atomic<std::size_t> mTaken{ 0 };
};

// The binary protocol, which refuses texts and lists beyond what is left before it makes room for
// them. Some short ones of each message are always read, so that reports are exchanged whatever
// calls are under way.
class BoundedProtocol : public apache::thrift::protocol::TBinaryProtocol
{
public:
  BoundedProtocol(std::shared_ptr<apache::thrift::protocol::TTransport> aTransport,
                  int aMaxTextBytes,
                  int aMaxElements,
                  std::shared_ptr<CallBytes> aBytes);
  ~BoundedProtocol() override;
  BoundedProtocol(const BoundedProtocol&) = delete;
  BoundedProtocol& operator=(const BoundedProtocol&) = delete;

  // NOLINTBEGIN(readability-identifier-naming): the names are Thrift's.
  std::uint32_t readMessageEnd_virt() override;
  std::uint32_t readListBegin_virt(apache::thrift::protocol::TType& aType,
                                   std::uint32_t& aSize) override;
  std::uint32_t readString_virt(std::string& aText) override;
  std::uint32_t readBinary_virt(std::string& aText) override;
  std::uint32_t skip_virt(apache::thrift::protocol::TType aType) override;
  // NOLINTEND(readability-identifier-naming)

private:
  std::uint32_t ReadText(std::string& aText);
  void Reserve(std::size_t aBytes);
  void GiveAll();

  std::shared_ptr<CallBytes> mBytes;
  std::size_t mTaken = 0;
  // Of the present message, read without a look at what is left.
  std::size_t mFreeBytes = 0;
};

}
