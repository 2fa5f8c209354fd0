#pragma once

#include "LibEntry/ControlEvents.h"
#include "LibPeer/Generated/peer_types.h"
#include "LibServe/Outcome.h"
#include "LibServe/Request.h"

// Conversion between Thrift messages and the internal structs.
namespace sesameseam {

wire::Report
ToWire(const PeerReport& aReport);

// The loads are timestamped with aNow, the time at which the report was received.
PeerReport
FromWire(const wire::Report& aReport, TimePoint aNow);

wire::CatchUpReply
ToWire(const PeerStateReceived& aState);
PeerStateReceived
FromWire(const wire::CatchUpReply& aReply);

wire::ForwardCall
ToWire(const Request& aRequest, const std::string& aDeployment, Duration aTimeout, bool aMayQueue);

// The request has the sender's id; the receiver has to replace it with an id of its own.
absl::StatusOr<Request>
FromWire(const wire::ForwardCall& aCall, TimePoint aNow);

wire::ForwardReply
ToWire(const Outcome& aOutcome, const std::string& aRequestId);
absl::StatusOr<Outcome>
FromWire(const wire::ForwardReply& aReply);

}
