#include "LibPeer/BoundedProtocol.h"

#include <glog/logging.h>

namespace sesameseam {

namespace {

constexpr std::size_t kShortTextBytes = 1024;

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
BoundedProtocol::ReadText(std::string& aText)
{
  std::int32_t size = 0;
  const auto read = readI32(size);
  if (size > static_cast<std::int32_t>(kShortTextBytes)) {
    const auto bytes = static_cast<std::size_t>(size);
    if (size > string_limit_ || !mBytes->TryTake(bytes)) {
      LOG_EVERY_N(WARNING, 1000) << "a peer's call is refused: a text of " << size
                                 << " bytes is more than is left for calls";
      throw apache::thrift::protocol::TProtocolException(
        apache::thrift::protocol::TProtocolException::SIZE_LIMIT);
    }
    mTaken += bytes;
  }
  return read + readStringBody(aText, size);
}

}
