#!/usr/bin/env bash
# Builds and runs all tests; what is given goes to ctest. Tests that KNOWN-RED.txt lists are run
# and printed, but do not fail this script; every other test does.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
Meta/build.sh
build=${BUILD_DIRECTORY:-build}

# The first word of an entry is the name of a test in ctest; "#" starts a comment, and an
# indented line goes on with the entry above.
known_red=$(sed -n 's/^\([A-Za-z][A-Za-z0-9_.-]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [ -z "$known_red" ]; then
  exec ctest --test-dir "$build" --output-on-failure "$@"
fi
pattern="^(${known_red//./\\.})$"
held=0
ctest --test-dir "$build" --output-on-failure -E "$pattern" "$@" || held=$?
echo "== known red, which does not fail this run:"
cat KNOWN-RED.txt
if ctest --test-dir "$build" --output-on-failure -R "$pattern"; then
  echo "all of them passed; take them out of KNOWN-RED.txt"
fi
exit "$held"
