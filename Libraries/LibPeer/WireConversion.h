#pragma once

#include "LibEntry/ControlEvents.h"
#include "LibPeer/Generated/peer_types.h"
#include "LibServe/Outcome.h"
#include "LibServe/Request.h"

// Between the messages on the wire and the structs of the decisions.
namespace sesameseam {

wire::Report
ToWire(const PeerReport& aReport);

// The loads count from the time at which they were received.
PeerReport
FromWire(const wire::Report& aReport, TimePoint aNow);

wire::CatchUpReply
ToWire(const PeerStateReceived& aState);
PeerStateReceived
FromWire(const wire::CatchUpReply& aReply);

wire::ForwardCall
ToWire(const Request& aRequest, const std::string& aDeployment, Duration aTimeout, bool aMayQueue);

// The id of the request is the receiver's to give.
absl::StatusOr<Request>
FromWire(const wire::ForwardCall& aCall, TimePoint aNow);

wire::ForwardReply
ToWire(const Outcome& aOutcome, const std::string& aRequestId);
absl::StatusOr<Outcome>
FromWire(const wire::ForwardReply& aReply);

}
