#!/bin/sh
# The module is read aloud after outages: 950 non-blank lines at most, 110 columns at most in src and include.
set -eu
lines=$(grep -vc '^[[:space:]]*$' "$1/src/nettlethread/choice.cpp")
[ "$lines" -le 950 ] || { echo "src/nettlethread/choice.cpp: $lines non-blank lines, 950 at most"; exit 1; }
find "$1/src" "$1/include" -type f | sort | while read -r file; do
    awk -v f="$file" 'length > 110 { print f ":" FNR ": over 110 columns"; bad = 1 } END { exit bad }' "$file"
done
