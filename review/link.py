"""The link of a machine: a way to the store with a bandwidth."""

import asyncio
import time

PIECE_BYTES = 4096
# A piece that was passed on late does not delay the next ones.
CREDIT_S = 0.02


class Link:
    """What comes from the server at PORT passes at BYTES_PER_S at most, over all
    connections together."""

    def __init__(self, port, bytes_per_s):
        self.to_port = port
        self.bytes_per_s = bytes_per_s
        self.free_at = 0
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def pass_on(self, reader, writer, is_limited):
        try:
            while data := await reader.read(PIECE_BYTES):
                if is_limited:
                    now = time.monotonic()
                    self.free_at = max(now - CREDIT_S, self.free_at) \
                        + len(data) / self.bytes_per_s
                    await asyncio.sleep(self.free_at - now)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port, limit=PIECE_BYTES)
        except OSError:
            writer.close()
            return
        up = asyncio.ensure_future(self.pass_on(reader, up_writer, False))
        await self.pass_on(up_reader, writer, True)
        up.cancel()
        up_writer.close()
