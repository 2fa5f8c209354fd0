#!/usr/bin/env bash
# Checks the format and runs the linter on all sources, or on those that are named. A source that
# the linter found clean is not checked again as long as nothing has changed that the linter sees:
# its version and settings, the compiler's flags, and the preprocessed source with its comments.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIRECTORY:-build}
mapfile -t all < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v /Generated/)
[ $# -gt 0 ] && all=("$@")
clang-format --dry-run --Werror "${all[@]}"
sources=()
for file in "${all[@]}"; do
  [[ $file == *.cpp ]] && sources+=("$file")
done
[ ${#sources[@]} -eq 0 ] && exit 0

export build
export cache=${XDG_CACHE_HOME:-$HOME/.cache}/sesameseam-lint
mkdir -p "$cache"
linter=$(clang-tidy --version; cat .clang-tidy)
export linter

# Prints a digest of all that the linter sees of a source; nothing if the build does not know it.
digest() { # digest FILE
  local command
  command=$(sed -n 's/^ *"command": "\(.* -c [^"]*\)",*$/\1/p' "$build/compile_commands.json" |
    grep -m1 -F -- "-c $PWD/$1" | sed 's/\\"/"/g; s/ -o [^ ]* / /') || return 0
  local preprocessed
  preprocessed=$(cd "$build" && eval "$command -E -P -C" 2>/dev/null) || return 0
  printf '%s\n' "$linter" "${command//"$PWD"/}" "$preprocessed" | sha256sum | cut -d' ' -f1
}

lint() { # lint FILE
  local key
  key=$(digest "$1")
  [ -n "$key" ] && [ -e "$cache/$key" ] && return 0
  clang-tidy --quiet -p "$build" "$1" 2>/dev/null || return 1
  [ -z "$key" ] || touch "$cache/$key"
}
export -f digest lint

printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint "$1"' lint {}
