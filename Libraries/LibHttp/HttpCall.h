#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/Address.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// Answers that are larger are not read to their end.
constexpr std::size_t kMaxAnswerBytes = 64U * 1024U * 1024U;

// Sends one request over a connection of its own and reads the whole answer.
//
// The timeout bounds the call as a whole, whatever the server trickles. A connection is never
// reused, since the client of cxxtools sends a request again on its own when a reused connection
// breaks. ConnectionRefused says that the server received nothing; after any other error it may
// have received the request.
absl::StatusOr<HttpReply>
CallHttp(const Address& aAddress, const HttpRequest& aRequest, Duration aTimeout);

}
