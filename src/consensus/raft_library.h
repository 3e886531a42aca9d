// The raft library's headers, which lack their own extern "C".
#pragma once

#include <uv.h>

#include <cstdarg>
#include <cstddef>
#include <cstdio>

extern "C" {
#include <raft.h>
#include <raft/uv.h>
}
