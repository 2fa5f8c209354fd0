#!/usr/bin/env bash
# Prints the share of the code by area, in lines that are neither blank nor comments alone.
# With a commit, counts only the lines that were added since: Meta/share.sh [COMMIT].
set -euo pipefail
cd "$(dirname "$0")/.."
since=${1:-}

area_of() { # area_of FILE
  case $1 in
    Libraries/LibPeer/Generated/*) echo generated ;;
    Tests/* | Libraries/LibExperiment/*) echo "tests and experiments" ;;
    Libraries/LibServe/*Retry* | Libraries/LibServe/Health*) echo retries ;;
    Libraries/LibServe/Slot* | Libraries/LibServe/Admission* | Libraries/LibServe/RequestQueue*) echo limits ;;
    Libraries/LibServe/* | Libraries/LibPlatform/Target* | Libraries/Plugins/Target*) echo routing ;;
    Libraries/LibFleet/Job* | Libraries/LibEntry/Job* | Libraries/*Plan* | Libraries/*Wave* | \
      Libraries/*Move* | Libraries/LibEntry/Leader*) echo "jobs, moves and waves" ;;
    Libraries/LibEntry/Membership* | Libraries/LibPeer/*) echo membership ;;
    Libraries/LibEntry/Claims*) echo recovery ;;
    *Checkpoint* | *CatchUp* | *Recover*) echo recovery ;;
    Libraries/LibFleet/* | Libraries/LibEntry/*) echo state ;;
    *) echo "rest (daemon, platform, tools, parsing)" ;;
  esac
}

lines_of() { # lines_of FILE
  if [ -n "$since" ]; then
    git diff --unified=0 "$since" -- "$1" | sed -n '/^+++/d; s/^+//p'
  else
    cat "$1"
  fi | grep -cvE '^[[:space:]]*(//.*|#.*)?$' || true
}

git ls-files --cached --others --exclude-standard '*.cpp' '*.h' '*.sh' '*.thrift' |
  while read -r file; do
    printf '%s\t%s\n' "$(area_of "$file")" "$(lines_of "$file")"
  done |
  awk -F'\t' '
    { lines[$1] += $2; if ($1 != "generated") total += $2 }
    $1 ~ /^(routing|limits|retries|membership|state|recovery)$/ { core += $2 }
    END {
      for (area in lines)
        printf "%-64s %7d %6.1f%%\n", area, lines[area], area == "generated" ? 0 : 100 * lines[area] / total
      printf "%-64s %7d %6.1f%%\n", "sum of routing, limits, retries, membership, state, recovery", core, 100 * core / total
      printf "%-64s %7d\n", "all but generated", total
    }' | sort
