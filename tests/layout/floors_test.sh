#!/bin/sh
# floors.sh finds what it is for: each tree below breaks one row and must be refused.
set -eu
floors=$(cd "$(dirname "$0")" && pwd)/floors.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/src/core" "$work/src/endpoints" "$work/src/upstream" "$work/src/discovery"
try() { # file, line, whether it is sound
    echo "$2" > "$work/src/$1"
    if "$floors" "$work" >/dev/null; then got=sound; else got=broken; fi
    rm "$work/src/$1"
    [ "$got" = "$3" ] || { echo "FAILED: $1 with '$2' is $got, not $3"; exit 1; }
}
try core/a.h '#include "net/loop.h"' sound
try core/a.h '#include "discovery/discovery_watch.h"' broken
try discovery/a.h '#include "upstream/connection_pool.h"' broken
try endpoints/a.h '#include "config/config.h"' sound
try endpoints/a.h '#include "net/loop.h"' broken
try endpoints/a.cpp '#include <fstream>' broken
try endpoints/a.cpp '#include "base/clock.h"' broken
try upstream/a.cpp '#include "routing/router.h"' sound
try upstream/a.cpp '#include "routing/target.h"' broken
mkdir "$work/src/somewhere" && try somewhere/a.h '' broken
