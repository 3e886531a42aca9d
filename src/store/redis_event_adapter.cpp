#include "store/redis_event_adapter.h"

#include <hiredis/async.h>

#include <memory>

namespace sumackeel::store {

namespace {

struct SocketWatch {
    uv_poll_t handle{};
    redisAsyncContext* context = nullptr;  // null: released
    int events = 0;
};

SocketWatch& watch_of(void* data) {
    return *static_cast<SocketWatch*>(data);
}

// A read makes hiredis find the error of the socket, and report it.
void on_poll(uv_poll_t* handle, int status, int events) {
    const SocketWatch& watch = watch_of(handle->data);
    const bool readable = status != 0 || (events & UV_READABLE) != 0;
    if (readable && watch.context) redisAsyncHandleRead(watch.context);
    if ((events & UV_WRITABLE) != 0 && watch.context) redisAsyncHandleWrite(watch.context);
}

void set_events(SocketWatch& watch, int events) {
    watch.events = events;
    events != 0 ? uv_poll_start(&watch.handle, events, on_poll) : uv_poll_stop(&watch.handle);
}

void add_read(void* data) {
    set_events(watch_of(data), watch_of(data).events | UV_READABLE);
}
void remove_read(void* data) {
    set_events(watch_of(data), watch_of(data).events & ~UV_READABLE);
}
void add_write(void* data) {
    set_events(watch_of(data), watch_of(data).events | UV_WRITABLE);
}
void remove_write(void* data) {
    set_events(watch_of(data), watch_of(data).events & ~UV_WRITABLE);
}
void release(void* data) {
    SocketWatch& watch = watch_of(data);
    watch.context = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&watch.handle),
             [](uv_handle_t* handle) { delete static_cast<SocketWatch*>(handle->data); });
}

}  // namespace

bool attach_to_loop(redisAsyncContext& context, uv_loop_t* loop) {
    auto watch = std::make_unique<SocketWatch>();
    if (uv_poll_init(loop, &watch->handle, context.c.fd) != 0) return false;
    watch->context = &context;
    watch->handle.data = watch.get();
    context.ev.data = watch.release();
    context.ev.addRead = add_read;
    context.ev.delRead = remove_read;
    context.ev.addWrite = add_write;
    context.ev.delWrite = remove_write;
    context.ev.cleanup = release;
    return true;
}

}  // namespace sumackeel::store
