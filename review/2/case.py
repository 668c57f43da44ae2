"""A router that was cut from the store goes on with a server that is gone."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'lib'))
import fleet as fleets
import platform_standin as standin

RATE = 25.0
CUT_AT, MAX_CUT_S = 4.0, 5.5
DRAIN_S, CONTACT_S = 2.0, 3.0
# How much longer than DrainMs the leaving server goes on.
LONGER_S = 2.0
LENGTH = 18.0


class Link:
    """A machine's link to the store. While it is cut, it drops all bytes;
    channels that were open then stay silent."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.generation = 0
        self.dropped = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def cut(self):
        self.is_cut = True
        self.generation += 1

    async def _pump(self, reader, writer, began_in, is_call):
        try:
            while True:
                data = await reader.read(1 << 16)
                if not data:
                    break
                if self.is_cut or began_in != self.generation:
                    if is_call:
                        self.dropped.append((time.monotonic(), data))
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        began_in = -1 if self.is_cut else self.generation
        host, port = self.store.address.split(':')
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, far[1], began_in, True),
            self._pump(far[0], writer, began_in, False))


async def run(fleet, trouble):
    record = fleet.record
    store = fleet.store
    await store.start()
    link = Link(store)
    await link.start()
    ledgers = [standin.Server(store, 'ledger', 'zone-a', 6) for _ in range(3)]
    fleet.servers = ledgers

    async def work(server, run, writer, reader):
        return await standin.plain_work(server, run, writer, reader, 0.2)

    for server in ledgers:
        server.work = work
        await server.start()
    store.put('op/config', standin.manifest(
        1, fleets.SERVICES, fleets.ROUTES,
        [{'Name': 'birch', 'ApiKeys': ['key-birch'], 'Priority': 1}]))

    class Reached:
        address = link.address
    machine = standin.Machine(Reached, fleet.temporary, 'zone-a')
    fleet.machines = [machine]
    await machine.start()
    if not await machine.wait_ready():
        raise RuntimeError('the machine did not become ready')
    began = time.monotonic()
    times = {'back': began + CUT_AT + MAX_CUT_S}
    leaving = ledgers[0]

    async def one_request(number):
        await fleet.request(number % 12, 'POST', '/pay/1',
                            {'Authorization': 'Bearer key-birch'},
                            b'x' * 600, 2.5)

    async def traffic():
        tasks = []
        number = 0
        while time.monotonic() < began + LENGTH:
            number += 1
            tasks.append(asyncio.create_task(one_request(number)))
            at = began + number / RATE
            await asyncio.sleep(max(0, at - time.monotonic()))
        await asyncio.gather(*tasks)

    async def leave():
        """The server never reports that it drains: its entry is removed, and
        it goes on for DrainMs and a little longer."""
        leaving._task.cancel()
        store.remove(f'servers/{leaving.id}')
        times['gone'] = time.monotonic()
        record.say(f'the entry of {leaving.id} is removed')
        await asyncio.sleep(DRAIN_S + LONGER_S)
        record.say(f'{leaving.id} exits with {leaving.running} requests')
        leaving.crash()

    async def faults():
        await asyncio.sleep(CUT_AT)
        if trouble:
            record.say('the machine is cut from the store')
            link.cut()
        await asyncio.sleep(3.0)
        # The cut ends soon after a read of the servers was lost in it.
        end = began + CUT_AT + MAX_CUT_S - 0.2
        while trouble and time.monotonic() < end:
            if any(at > time.monotonic() - 0.1 and b'kv-range' in data
                   and b'servers' in data for at, data in link.dropped):
                break
            await asyncio.sleep(0.01)
        gone = asyncio.create_task(leave())
        await asyncio.sleep(0.15)
        link.is_cut = False
        times['back'] = time.monotonic()
        if trouble:
            record.say(f'the cut has ended after '
                       f'{times["back"] - began - CUT_AT:.1f} s')
        await gone

    await asyncio.gather(traffic(), faults())
    in_touch = times['back'] + CONTACT_S if trouble else began + CUT_AT
    bound = max(times['gone'] + DRAIN_S, in_touch)
    now, wall = time.monotonic(), time.time()
    late = [one for one in leaving.runs if one['at'] - wall + now > bound]
    lost = [one for one in late if one['end'] is None]
    answers = {one['id']: one['answer'] for one in fleet.requests}
    for one in late:
        after = one['at'] - wall + now - times['gone']
        record.say(f'{one["id"]} ran at {leaving.id} {1000 * after:.0f} ms '
                   f'after its entry was removed; the caller got '
                   f'{answers[one["id"]].status}')
    record.say(f'{len(late)} requests reached the server later than DrainMs '
               f'from a machine in touch; {len(lost)} of them were lost in '
               f'its exit')
    record.say('DRAIN is broken' if late else 'DRAIN holds')
    return bool(late)


# With TROUBLE=0 the case runs without its disruption.
fleets.main(run, FOLDER, os.environ.get('TROUBLE', '1') != '0')
