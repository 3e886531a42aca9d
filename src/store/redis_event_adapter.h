// Runs a hiredis connection on libuv's loop.
#pragma once

#include <uv.h>

struct redisAsyncContext;

namespace sumackeel::store {

// hiredis (0.14) has an adapter of its own, which passes over the errors of a socket: a connection that is
// refused late, or reset, is never reported to the context. Returns false if the socket can't be watched.
// Everything is released with the context.
bool attach_to_loop(redisAsyncContext& context, uv_loop_t* loop);

}  // namespace sumackeel::store
