#!/bin/sh
# `sumackeel list`, `keys` and `check-config` as an operator calls them. Usage: list_command_test.sh SUMACKEEL WRITE_LIST
# WRITE_LIST FOLDER GENERATION AGE_S writes a list of three members and a purge.
set -eu
program=$1 write=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "FAILED: $1"; exit 1; }
has() { case "$1" in *"$2"*) ;; *) fail "'$2' is not in: $1" ;; esac; }
status() { set +e; "$@" >"$work/out" 2>&1; code=$?; set -e; echo $code; }

printf '[saved_list]\nfolder = "list"\nsite = "school"\n' > "$work/operator.toml"
"$write" "$work/list" 1 60
shown=$("$program" list show "$work/list" --operator "$work/operator.toml")
has "$shown" "3 members, 1 purges"
has "$shown" "s-a "
has "$shown" "careful"
has "$shown" "from  15.0 min: 1 in full, 0 with care, 2 not"
json=$("$program" list show "$work/list" --json --operator "$work/operator.toml" | tr -d ' \t\n')
has "$json" '"name":"s-a","seq":7,"state":"ready","use":"careful"'
has "$json" '"name":"s-drained","seq":7,"state":"draining","use":"none"'
has "$json" '"name":"s-origin","seq":7,"state":"ready","use":"full"'
has "$json" '"purges":[{"group":17,"time_us":'
[ "$(status "$program" list verify "$work/list" --operator "$work/operator.toml")" = 0 ] || fail "a sound list"
first=$(ls "$work"/list/*.sumlist)
cp "$first" "$work/old"
"$write" "$work/list" 2 1
[ "$(status "$program" list diff "$work/old" "$work/list")" = 1 ] || fail "two lists that differ in a purge"
[ "$(status "$program" list diff "$work/old" "$work/old")" = 0 ] || fail "a list and itself"
printf 'x' | dd of="$work/old" bs=1 seek=60 conv=notrunc 2>/dev/null
[ "$(status "$program" list verify "$work/old")" = 1 ] || fail "a bad byte"
has "$(cat "$work/out")" "damaged"
"$write" "$work/ahead" 1 -3600
[ "$(status "$program" list verify "$work/ahead" --operator "$work/operator.toml")" = 1 ] || fail "from the future"
has "$(cat "$work/out")" "wrong_clock"
[ "$(status "$program" list show "$work/nothing")" = 1 ] || fail "no such file"
[ "$(status "$program" list)" = 2 ] || fail "no verb"

echo '{"x":1}' > "$work/bad.json"
here=$(cd "$(dirname "$0")/../.." && pwd)
[ "$(status "$program" check-config --config "$here/example/config.json" --operator "$work/bad.json")" = 2 ] ||
    fail "an unknown key is sound"
has "$(cat "$work/out")" "bad.json:1:6: x: no such key"
[ "$(status "$program" check-config --config "$here/example/config.json" --operator "$work/operator.toml")" = 0 ] ||
    fail "a sound file"
