"""TCP relay that can drop all data on its open connections while new connections work."""

import socket
import threading


class Relay:
    def __init__(self, address, target):
        self.target = target
        self.silent = set()
        self.open = set()
        self.lock = threading.Lock()
        host, port = address.split(":")
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
                host, port = self.target.split(":")
                server = socket.create_connection((host, int(port)))
            except OSError:
                return
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = object()
            with self.lock:
                self.open.add(link)
            for source, sink in ((caller, server), (server, caller)):
                threading.Thread(target=self._pump, args=(link, source, sink), daemon=True).start()

    def _pump(self, link, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if link in self.silent and data:
                    continue
                if link in self.silent:
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass

    def silence(self):
        """Drops all further data on the connections that are open now."""
        with self.lock:
            self.silent |= self.open

    def stop(self):
        self.listener.close()
