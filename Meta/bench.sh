#!/usr/bin/env bash
# Runs one measurement: Meta/bench.sh NAME [--seed N]. The last line is one JSON object.
# A measurement that needs processes has a script of its own, Meta/bench-NAME.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 1 ] || {
  echo "usage: Meta/bench.sh NAME [--seed N]" >&2
  exit 2
}
name=$1
shift
Meta/install-packages.sh
Meta/build.sh >/dev/null
if [ -x "Meta/bench-$name.sh" ]; then
  exec "Meta/bench-$name.sh" "$@"
fi
exec "${BUILD_DIRECTORY:-build}/Utilities/sesameseam-bench" "$name" "$@"
