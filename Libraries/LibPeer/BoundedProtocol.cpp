#include "LibPeer/BoundedProtocol.h"

#include "LibPeer/Generated/peer_types.h"

#include <algorithm>
#include <glog/logging.h>

namespace sesameseam {

namespace {

constexpr std::size_t kShortTextBytes = 1024;
constexpr std::size_t kFreeMessageBytes = 64UL * 1024;

// What one element of a list takes before it is read.
constexpr std::size_t kElementBytes = 128;
static_assert(sizeof(wire::PoolLoad) <= kElementBytes && sizeof(wire::Slot) <= kElementBytes);

}

bool
CallBytes::TryTake(std::size_t aBytes)
{
  if (mTaken.fetch_add(aBytes) + aBytes <= mMax) {
    return true;
  }
  mTaken -= aBytes;
  return false;
}

BoundedProtocol::BoundedProtocol(std::shared_ptr<apache::thrift::protocol::TTransport> aTransport,
                                 int aMaxTextBytes,
                                 int aMaxElements,
                                 std::shared_ptr<CallBytes> aBytes)
  : TBinaryProtocolT(std::move(aTransport), aMaxTextBytes, aMaxElements, true, true)
  , mBytes(std::move(aBytes))
{
}

BoundedProtocol::~BoundedProtocol()
{
  GiveAll();
}

void
BoundedProtocol::GiveAll()
{
  mBytes->Give(mTaken);
  mTaken = 0;
  mFreeBytes = 0;
}

// From here on the handler counts what it holds.
std::uint32_t
BoundedProtocol::readMessageEnd_virt()
{
  GiveAll();
  return TBinaryProtocolT::readMessageEnd_virt();
}

std::uint32_t
BoundedProtocol::readString_virt(std::string& aText)
{
  return ReadText(aText);
}

std::uint32_t
BoundedProtocol::readBinary_virt(std::string& aText)
{
  return ReadText(aText);
}

// The inherited one would read texts without a look at what is left.
std::uint32_t
BoundedProtocol::skip_virt(apache::thrift::protocol::TType aType)
{
  return apache::thrift::protocol::skip<apache::thrift::protocol::TProtocol>(*this, aType);
}

std::uint32_t
BoundedProtocol::readListBegin_virt(apache::thrift::protocol::TType& aType, std::uint32_t& aSize)
{
  const auto read = TBinaryProtocolT::readListBegin_virt(aType, aSize);
  const auto bytes = aSize * kElementBytes;
  if (mFreeBytes + bytes <= kFreeMessageBytes) {
    mFreeBytes += bytes;
  } else {
    Reserve(bytes);
  }
  return read;
}

std::uint32_t
BoundedProtocol::ReadText(std::string& aText)
{
  std::int32_t size = 0;
  const auto read = readI32(size);
  const auto bytes = static_cast<std::size_t>(std::max(size, 0));
  if (bytes <= kShortTextBytes && mFreeBytes + bytes <= kFreeMessageBytes) {
    mFreeBytes += bytes;
  } else if (size <= string_limit_) {
    Reserve(bytes);
  }
  return read + readStringBody(aText, size);
}

void
BoundedProtocol::Reserve(std::size_t aBytes)
{
  if (!mBytes->TryTake(aBytes)) {
    LOG_EVERY_N(WARNING, 1000) << "a peer's call is refused: " << aBytes
                               << " bytes are more than is left for calls";
    throw apache::thrift::protocol::TProtocolException(
      apache::thrift::protocol::TProtocolException::SIZE_LIMIT);
  }
  mTaken += aBytes;
}

}
