#!/usr/bin/env bash
# Makes the C++ code of the protocol between entry hosts and of the log's records anew.
set -euo pipefail
cd "$(dirname "$0")/../Libraries"
for file in LibPeer/peer.thrift LibSchedule/schedule.thrift; do
  (cd "$(dirname "$file")" && thrift --gen cpp:no_skeleton -out Generated "$(basename "$file")")
done
