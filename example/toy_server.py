#!/usr/bin/env python3
"""A cache, a parent, an origin and a change log on loopback, for trying sumackeel out (see the README).

The three answer every request with a line of text that names it; the change log only says that it lives.
"""
import asyncio
import time


async def cache(reader, writer):
    try:
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] == "REQ":
                _, ident, fields, length = words
                await reader.readexactly(int(length) + 2)
                body = f"{ident} {fields}\n".encode()
                head = f"{ident} DONE digest=e1,dated={time.time_ns() // 1_000_000},tell=local {len(body)}\r\n"
                writer.write(head.encode() + body + b"\r\n")
                await writer.drain()
            elif words[0] == "HELO":
                writer.write(f"{words[1]} FIT - 0\r\n\r\n".encode())
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def change_log(reader, writer):
    try:
        while (await reader.readline()).strip():
            pass
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        while True:
            writer.write(b":\n\n")
            await writer.drain()
            await asyncio.sleep(1)
    except ConnectionError:
        pass


async def main():
    servers = [await asyncio.start_server(cache, "127.0.0.1", port) for port in (9101, 9102, 9103)]
    servers.append(await asyncio.start_server(change_log, "127.0.0.1", 4222))
    print("cache 9101, parent 9102, origin 9103, change log 4222; end with Ctrl-C", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


try:
    asyncio.run(main())
except KeyboardInterrupt:
    pass
