#!/bin/sh
# Checks that find_package(sumackeel_routing) finds the package installed by cmake --install.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake -S "$1" -B "$work/build" -DCMAKE_BUILD_TYPE=Release -DSUMACKEEL_DAEMON=OFF >/dev/null
cmake --build "$work/build" >/dev/null
cmake --install "$work/build" --prefix "$work/prefix" >/dev/null
mkdir "$work/user"
cp "$1/tests/routing/example.cpp" "$work/user/"
cat > "$work/user/CMakeLists.txt" <<'LISTS'
cmake_minimum_required(VERSION 3.20)
project(user LANGUAGES CXX)
find_package(sumackeel_routing REQUIRED)
add_executable(user example.cpp)
target_compile_features(user PRIVATE cxx_std_20)
target_link_libraries(user PRIVATE sumackeel::sumackeel_routing)
LISTS
cmake -S "$work/user" -B "$work/user/build" -DCMAKE_PREFIX_PATH="$work/prefix" >/dev/null
cmake --build "$work/user/build" >/dev/null
"$work/user/build/user"
