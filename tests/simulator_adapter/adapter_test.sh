#!/bin/sh
# Exit status of the adapter: 0 at the end of input, 1 with one line on standard error for invalid input.
set -u
adapter=$1
fail() { echo "FAILED: $1"; exit 1; }
out=$(printf '{"now":1,"groups":[]}\n' | "$adapter") || fail "an empty batch ends with status 0"
[ "$out" = '{"groups":[]}' ] || fail "an empty batch gets an empty reply, not $out"
expect_refusal() {
    errors=$(printf '%s\n' "$1" | "$adapter" 2>&1 >/dev/null) && fail "accepted: $1"
    [ "$(printf '%s\n' "$errors" | wc -l)" -eq 1 ] || fail "not one line for: $1"
    case "$errors" in *"line 1"*"$2"*) ;; *) fail "'$errors' does not name '$2'" ;; esac
}
expect_refusal 'not json' 'parse'
expect_refusal '{"groups":[]}' 'now'
expect_refusal '{"now":1,"groups":[{"i":"gateway_0","arrivals":[["wake",1]]}]}' "unknown instance"
expect_refusal '{"now":1,"groups":[{"i":"gateway_0","arrivals":[["new_instance",1,5]]}]}' 'params'
