#!/bin/sh
# Files that fit a head: 1,100 non-blank lines at most, 110 columns at most in src and include.
set -eu
find "$1/src" "$1/include" -type f | sort | while read -r file; do
    lines=$(grep -vc '^[[:space:]]*$' "$file")
    [ "$lines" -le 1100 ] || { echo "$file: $lines non-blank lines, 1100 at most"; exit 1; }
    awk -v f="$file" 'length > 110 { print f ":" FNR ": over 110 columns"; bad = 1 } END { exit bad }' "$file"
done
