"""Stand-in pop caches that answer everything at once."""
import socket
import threading

from wire import cache_box


class StubCaches:
    """Pop caches, a parent and an origin at one address. Counts what ran, `enrol` by request."""

    def __init__(self, host, delay=0):
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(256)
        self.at = "%s:%d" % self.listener.getsockname()
        self.lock, self.enrols, self.served = threading.Lock(), {}, [0]
        threading.Thread(target=cache_box, args=(self.listener, self.served, self.see, delay), daemon=True).start()

    def see(self, request, fields):
        if request.startswith("e"):
            with self.lock:
                self.enrols[request] = self.enrols.get(request, 0) + 1
