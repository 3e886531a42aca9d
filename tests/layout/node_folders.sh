#!/bin/sh
# `node` in deploy/balancer.toml names every folder of the program: all of src but the simulator's wire and the
# emulator, which `run` does not hold. Usage: node_folders.sh ROOT
set -eu
cd "$1"
named=$(sed -n 's/^node = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
bad=0
for folder in src/*/; do
    folder=${folder%/}
    case $folder in src/simulator_adapter | src/emulator) continue ;; esac
    echo " $named " | grep -qF " $folder " || { echo "node lacks $folder"; bad=1; }
done
for name in $named; do
    [ -e "$name" ] || { echo "node names $name, which is not there"; bad=1; }
done
exit $bad
