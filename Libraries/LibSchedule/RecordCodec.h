#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

// Encodes and decodes log records in Thrift's compact protocol.
namespace sesameseam::schedule::detail {

using RecordBuffer = apache::thrift::transport::TMemoryBuffer;
using RecordProtocol = apache::thrift::protocol::TCompactProtocolT<RecordBuffer>;

// The most items that a list of a record may have. The longest lists are those of a job's tasks.
inline constexpr int kMaxRecordItems = 1 << 16;

template<typename T>
std::string
Encode(const T& aRecord)
{
  auto buffer = std::make_shared<RecordBuffer>();
  RecordProtocol protocol(buffer);
  aRecord.write(&protocol);
  return buffer->getBufferAsString();
}

// Reads into a record that is as constructed. Records can only be copied, so that large ones are
// read where they are used.
template<typename T>
absl::Status
DecodeInto(std::string_view aBytes, T& aRecord)
{
  // The buffer does not own the bytes, and reading does not modify them.
  auto* bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  auto size = static_cast<std::uint32_t>(aBytes.size());
  // A list or string is not made longer than the rest of the record could hold, whatever length is
  // written there.
  auto limits = std::make_shared<apache::thrift::TConfiguration>(static_cast<int>(size));
  auto buffer = std::make_shared<RecordBuffer>(bytes, size, RecordBuffer::OBSERVE, limits);
  RecordProtocol protocol(buffer, static_cast<std::int32_t>(size), kMaxRecordItems);
  try {
    aRecord.read(&protocol);
  } catch (const apache::thrift::TException& error) {
    return MakeError(ErrorKind::RecordUnreadable, error.what());
  }
  return absl::OkStatus();
}

template<typename T>
absl::StatusOr<T>
Decode(std::string_view aBytes)
{
  T record;
  TRY(DecodeInto(aBytes, record));
  return record;
}

}
