"""Loopback TCP relay that delays or resets connections or drops their data in one or both directions."""

import asyncio
import random
import time

MODES = ("delay", "reset", "silence", "one way")


class Relay:
    def __init__(self, address, target, seed):
        self.address = address
        self.target = target
        self.random = random.Random(seed)
        self.mode = None
        self.mode_changed_at = 0.0
        self.links = set()
        self.server = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def stop(self):
        self.server.close()
        for link in list(self.links):
            link.cancel()

    def set_mode(self, mode):
        self.mode = mode
        self.mode_changed_at = time.monotonic()
        if mode == "reset":
            for link in list(self.links):
                link.cancel()

    def disturbed_since(self, at):
        """Returns whether data that was sent at `at` or later may have been delayed or lost."""
        return self.mode is not None or self.mode_changed_at >= at

    async def _accept(self, caller_reader, caller_writer):
        link = asyncio.current_task()
        self.links.add(link)
        server_writer = None
        try:
            host, port = self.target.split(":")
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
            # Data on a connection stays dropped after the relay has returned to normal.
            state = {"silent": False}
            await asyncio.gather(self._pump(caller_reader, server_writer, state, False),
                                 self._pump(server_reader, caller_writer, state, True))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(link)
            for writer in (caller_writer, server_writer):
                if writer is not None:
                    writer.transport.abort()

    async def _pump(self, reader, writer, state, backwards):
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(self.random.uniform(0.02, 0.4))
            state["silent"] = state["silent"] or self.mode == "silence"
            if state["silent"] or (self.mode == "one way" and backwards):
                continue
            writer.write(data)
            await writer.drain()
        writer.write_eof()
