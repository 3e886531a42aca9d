#!/bin/sh
# Installs the Debian packages that deploy/balancer.toml names, and what building and testing need besides.
# Those already there are left alone; only a missing one asks the package mirror.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
build="cmake g++ make"
test="libgtest-dev doctest-dev librapidcheck-dev libbenchmark-dev clang-format clang-tidy"
named=$(sed -n 's/^packages = \[\(.*\)\].*/\1/p' "$root/deploy/balancer.toml" | tr -d '",')
missing=""
for package in $build $test $named; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
as_root=""
[ "$(id -u)" -eq 0 ] || as_root="sudo"
$as_root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq $missing
