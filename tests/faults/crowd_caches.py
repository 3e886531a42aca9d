"""Pop caches, parent and origin on one address, which answer usual clients at once and do what HABIT says towards the
requests of a crowd: answer, hang, half (of the response), broke, close; deaf: they read nothing at all.

Usage: crowd_caches.py HABIT; prints its address, and runs until it is killed.
"""
import asyncio
import sys

from habits import PopCaches

CROWD_BODY = b"x" * 240_000


class CrowdedCaches(PopCaches):
    def __init__(self, habit):
        super().__init__(0)
        self.habit, self.deaf = habit, habit == "deaf"

    def answer(self, writer, request):
        if not request.startswith("c0ffee"):
            super().answer(writer, request)
        elif not writer.is_closing():
            self.answer_crowd(writer, request)

    def answer_crowd(self, writer, request):
        if self.habit == "close":
            writer.close()
        if self.habit == "broke":
            writer.write(f"{request} BROKE - 0\r\n\r\n".encode())
        head = f"{request} DONE digest=e1,dated=1764576000123,tell=pulled {len(CROWD_BODY)}\r\n".encode()
        if self.habit == "half":
            writer.write(head + CROWD_BODY[:len(CROWD_BODY) // 2])
        if self.habit == "answer":
            writer.write(head + CROWD_BODY + b"\r\n")


async def main():
    caches = CrowdedCaches(sys.argv[1])
    await caches.start()
    print(caches.at, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
