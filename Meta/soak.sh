#!/usr/bin/env bash
# Plays the fault soak with seeds FIRST to LAST, several at a time: Meta/soak.sh FIRST LAST
# [SECONDS] [AT_ONCE]. Logs of failed seeds are kept in SOAK_LOGS, /tmp/soak-logs by default.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${BUILD_DIRECTORY:-build}")
seconds=${3:-12}
seq "$1" "$2" | xargs -P "${4:-4}" -I{} Tests/Soak/soak.sh "$build" {} "$seconds"
