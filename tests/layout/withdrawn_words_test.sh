#!/bin/sh
# withdrawn_words.py finds what it is for: identifiers and log lines, not comments, wire strings or unread files.
set -eu
check=$(cd "$(dirname "$0")" && pwd)/withdrawn_words.py
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/src/net" "$work/include" "$work/tests/layout"
printf 'door connection manager\n[unread]\n' > "$work/tests/layout/withdrawn_words.txt"
try() { # line, whether it is sound
    printf '%s\n' "$1" > "$work/src/net/a.cpp"
    if python3 "$check" "$work" > /dev/null; then got=sound; else got=broken; fi
    [ "$got" = "$2" ] || { echo "FAILED: '$1' is $got, not $2"; exit 1; }
}
try 'int open_doors; class Manager {};' sound
try 'int open_door_count;' broken
try 'class FrontDoor {};' broken
try '// the door' sound
try 'const char* wire = "door";' sound
try 'log::info("net: door={}", 1);' broken
echo 'src/net/a.cpp' >> "$work/tests/layout/withdrawn_words.txt"
try 'class Door {};' sound
try 'class Manager {};' broken
