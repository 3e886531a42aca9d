#!/bin/sh
# clang-tidy over all of src with the checks of .clang-tidy, a process a core; prints what it finds and nothing else.
# Usage: clang_tidy.sh BUILD_FOLDER (with compile_commands.json)
set -eu
build=$1
cores=$(nproc)
# What a run says on standard error is shown only where it fails.
git ls-files 'src/*.cpp' | xargs -P "$cores" -n 1 sh -c '
    errors=$(clang-tidy -p "$0" --quiet --extra-arg=-Wno-unknown-warning-option "$1" 2>&1 >&3) && exit 0
    echo "$1: clang-tidy failed: $errors"
    exit 1' "$build" 3>&1
