// The raft library's headers, which do not say themselves that they are C.
#pragma once

#include <uv.h>

#include <cstdarg>
#include <cstddef>
#include <cstdio>

extern "C" {
#include <raft.h>
#include <raft/uv.h>
}
