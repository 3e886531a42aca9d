#!/bin/sh
# A folder includes from lower floors only, never sideways. The table below is README's, "How the parts fit".
# Usage: floors.sh ROOT. Guards: a pure part that starts doing I/O, a core that learns a wire, rings of folders.
set -eu
cd "$1/src"
floor_of() {
    case $1 in
        base) echo 0 ;;
        config) echo 1 ;;
        routing | endpoints | cluster | rollout | recovery | kv_store | expectations | emulator | admin) echo 2 ;;  # pure: no I/O, no clock, no loop
        net) echo 3 ;;
        core | cluster_transport) echo 4 ;;
        platform_server | signed_url_server | admin_server | upstream | discovery | store | endpoint_snapshot | consensus | recovery_coordinator) echo 5 ;;
        daemon | simulator_adapter) echo 6 ;;
        cli) echo 7 ;;
        *) echo unknown ;;
    esac
}
bad=0
complain() { echo "$1"; bad=1; }
for folder in */; do
    folder=${folder%/}
    mine=$(floor_of "$folder")
    [ "$mine" != unknown ] || { complain "src/$folder: on no floor"; continue; }
    for found in $(grep -HoE '^#include "[a-z_]+/' "$folder"/*.h "$folder"/*.cpp 2>/dev/null | sed 's/ //; s/:#include"/:/; s/\/$//'); do
        file=${found%%:*} to=${found#*:}
        [ "$to" != "$folder" ] || continue
        # The routing library's public header (include/routing) holds plain types that every floor may name.
        if [ "$to" = routing ]; then
            grep -q '"routing/[^"]*"' "$file" && [ "$folder" != routing ] &&
                grep '"routing/' "$file" | grep -vq '"routing/router.h"' &&
                complain "src/$file: looks into the routing library"
            continue
        fi
        theirs=$(floor_of "$to")
        [ "$theirs" != unknown ] && [ "$theirs" -lt "$mine" ] ||
            complain "src/$file: floor $mine includes $to of floor $theirs"
    done
    # Pure parts: nothing that reads a clock, a file, a socket or starts a thread.
    banned=""
    [ "$mine" != 1 ] || banned='uv\.h|thread|mutex|sys/socket\.h|netinet/|unistd\.h|poll\.h'
    [ "$mine" != 2 ] ||
        banned='uv\.h|thread|mutex|sys/|netinet/|unistd\.h|poll\.h|fcntl\.h|fstream|filesystem|chrono|iostream|cstdio'
    for file in "$folder"/*.h "$folder"/*.cpp; do
        [ -f "$file" ] && [ -n "$banned" ] || continue
        ! grep -qE "^#include <($banned)" "$file" || complain "src/$file: is to be pure"
        [ "$mine" = 1 ] || ! grep -qE '"base/(clock|log|timer_queue)\.h"' "$file" ||
            complain "src/$file: has a clock or a log of its own"
    done
done
exit $bad
