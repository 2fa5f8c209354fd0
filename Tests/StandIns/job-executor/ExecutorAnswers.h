#pragma once

#include "LibHttp/EventHttpServer.h"
#include "LibStandIn/FakeExecutor.h"

#include <optional>
#include <string>

// What an executor of the users' platform reads and says on the wire, for the fakes of one.
namespace sesameseam::standin {

// The calls, as they arrive at the executor with the id. Empty if the call names no task.
std::optional<schedule::StartCall>
DecodeStartCall(const schedule::ExecutorId& aExecutor, const std::string& aBody);
std::optional<schedule::StopCall>
DecodeStopCall(const schedule::ExecutorId& aExecutor, const std::string& aBody);
schedule::HeartbeatCall
DecodeHeartbeatCall(const schedule::ExecutorId& aExecutor, const std::string& aBody);

EventHttpReply
EncodeStartAnswer(const schedule::StartAnswer& aAnswer);
EventHttpReply
EncodeHeartbeatAnswer(const schedule::HeartbeatAnswer& aAnswer);

// The executor's entry in the platform's list; aSequence counts its reports.
std::string
EncodeEntry(const FakeExecutor& aExecutor, std::int64_t aSequence);

// How a run has ended, in the platform's words.
const char*
NameOfEnd(schedule::EndKind aKind);

}
