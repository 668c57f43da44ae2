"""Cuts of single machines: from the store, and from servers."""
import asyncio
import os

import fleet


def owns_socket(pid, port):
    """Tells whether the process has a TCP socket with this local port."""
    local_end = ':%04X' % port
    with open('/proc/net/tcp', encoding='ascii') as table:
        rows = [line.split() for line in table.readlines()[1:]]
    sockets = {f'socket:[{row[9]}]' for row in rows
               if row[1].endswith(local_end)}
    for descriptor in os.listdir(f'/proc/{pid}/fd'):
        try:
            if os.readlink(f'/proc/{pid}/fd/{descriptor}') in sockets:
                return True
        except OSError:
            continue
    return False


class Link:
    """Forwards TCP to `target`. While it is cut, channels stay open, old and
    new ones, and pass nothing on; those that were open meanwhile are dead.
    `is_cuttable` tells by the caller's port whether a channel is concerned."""

    def __init__(self, target, is_cuttable=lambda port: True):
        self.target = target
        self.is_cuttable = is_cuttable
        self.is_cut = False
        # The loop itself holds its tasks weakly.
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, fleet.HOST, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        channel = {'dead': False}
        is_cuttable = self.is_cuttable(writer.get_extra_info('peername')[1])
        host, port = self.target.rsplit(':', 1)
        other = None
        try:
            other_reader, other = await asyncio.open_connection(
                host, int(port))
            await asyncio.gather(
                self.copy(reader, other, is_cuttable, channel),
                self.copy(other_reader, writer, is_cuttable, channel))
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
            if other is not None:
                other.close()

    async def copy(self, source, sink, is_cuttable, channel):
        while True:
            data = await source.read(65536)
            if self.is_cut and is_cuttable:
                channel['dead'] = True
            if not data:
                break
            if not channel['dead']:
                sink.write(data)
                await sink.drain()
        if not channel['dead']:
            sink.close()
