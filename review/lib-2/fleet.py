"""Stand-ins of the second review: the platform's store, plain servers and
clients, and the entry processes of the deploy file as separate processes.

All of them listen on loopback addresses. They do only what the users' pages
describe; see PROTOCOL.md (store, servers, clients) and DEPLOY.md (settings).
"""
import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / 'target' / 'turmeric_entry'
HOST = '127.0.0.1'
STORE_DELAY_S = 0.004


def now():
    return time.monotonic()


def end_with_parent():
    """Runs in a new process: it is killed when the script ends."""
    death_signal = 1  # PR_SET_PDEATHSIG
    ctypes.CDLL(None).prctl(death_signal, signal.SIGKILL)


class Record:
    """Writes record.txt: what was sent, answered and run, by time."""

    def __init__(self, folder):
        self.begun = now()
        self.file = open(pathlib.Path(folder) / 'record.txt', 'w',
                         encoding='utf-8')

    def line(self, text, at=None):
        at = (now() if at is None else at) - self.begun
        self.file.write(f'{at:9.3f}  {text}\n')

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads one HTTP message with a length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    body = b''
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif 'content-length' in fields:
        body = await reader.readexactly(int(fields['content-length']))
    return lines[0], fields, body


def write_message(first, fields, body=b''):
    lines = [first] + [f'{name}: {value}' for name, value in fields]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Store:
    """The platform's metadata store: items, watches, transactions, leases."""

    RETENTION = 100_000

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.on_write = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()
        self.expiry = asyncio.create_task(self.expire())

    def signal_change(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [one for one, (end, _) in self.leases.items()
                          if end < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items()
                if item['Lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.signal_change()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({'Key': key, 'Revision': self.revision,
                                'Deleted': True})

    def write(self, puts, removed=()):
        """Applies one change and returns its revision."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, {}).get('Created', self.revision)
            self.items[key] = {
                'Key': key, 'Value': base64.b64encode(value).decode(),
                'Revision': self.revision, 'Created': created, 'Lease': lease}
            self.events.append(dict(self.items[key]))
        for key in removed:
            self.remove(key)
        self.signal_change()
        for key, value, _ in puts:
            for action in self.on_write:
                action(key, value)
        return self.revision

    def put(self, key, document):
        """A write of the operator or of a server."""
        return self.write([(key, json.dumps(document).encode(), 0)])

    def delete(self, key):
        return self.write([], [key])

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(' ')
                status, answer = await self.answer(method, target, message[2])
                body = json.dumps(answer).encode()
                writer.write(write_message(
                    f'HTTP/1.1 {status} x',
                    [('Content-Type', 'application/json')], body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(STORE_DELAY_S)
        path, _, query = target.partition('?')
        asked = {name: values[0] for name, values in
                 urllib.parse.parse_qs(query).items()}
        if path == '/api/kv-key':
            item = self.items.get(asked['Key'])
            if item is None:
                return 404, {'CurrentRev': self.revision}
            return 200, {**item, 'CurrentRev': self.revision}
        if path == '/api/kv-range':
            keys = sorted(key for key in self.items
                          if key.startswith(asked['Prefix'])
                          and key > asked.get('After', ''))
            return 200, {'Items': [self.items[key] for key in keys[:500]],
                         'MorePages': len(keys) > 500,
                         'CurrentRev': self.revision}
        if path == '/api/kv-watch':
            return 200, await self.watch(asked)
        sent = json.loads(body) if body else {}
        if path == '/api/kv-txn':
            return self.transact(sent)
        if path == '/api/kv-lease':
            self.next_lease += 1
            ttl = max(1.0, sent['TtlMs'] / 1000)
            self.leases[self.next_lease] = (now() + ttl, ttl)
            return 200, {'Lease': self.next_lease, 'TtlMs': int(ttl * 1000)}
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/api/kv-keep/'):
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {'TtlMs': int(ttl * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, asked):
        prefix, after = asked['Prefix'], int(asked['After'])
        end = now() + int(asked['WaitMs']) / 1000
        while True:
            changed = self.changed
            found = [event for event in self.events
                     if event['Revision'] > after
                     and event['Key'].startswith(prefix)]
            left = end - now()
            if found or left <= 0:
                return {'events': found, 'CurrentRev': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, sent):
        current = []
        is_met = True
        for row in sent.get('ExpectRev') or []:
            item = self.items.get(row['Key'])
            current.append(item or {'Key': row['Key'], 'Revision': 0})
            is_met = is_met and current[-1]['Revision'] == row['Revision']
        if not is_met:
            return 412, {'Items': current, 'CurrentRev': self.revision}
        puts = [(put['Key'], base64.b64decode(put['Value']),
                 put.get('Lease', 0)) for put in sent.get('Puts') or []]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if any(key.startswith(('op/', 'servers/')) for key, _, _ in puts):
            return 403, {}
        return 200, {'Revision': self.write(puts, sent.get('Remove') or [])}


class Server:
    """A plain server of one service and version. `work` returns the seconds
    that a request takes and the status of its answer, by its method."""

    def __init__(self, record, name, service, version, zone, work):
        self.record = record
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.work = work
        self.runs = []
        self.writers = set()
        self.slots = 6

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()

    def entry(self, state='ready', seq=1):
        return {'Service': self.service, 'Address': self.address,
                'Zone': self.zone, 'Version': self.version,
                'Slots': self.slots, 'State': state, 'ColdLeftMs': 0,
                'SeqNo': seq}

    def stop(self):
        """Stops at once, without draining."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                writer.write(await self.answer(*message))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, first, fields, _body):
        request = fields.get('x-request-id', '')
        echo = [('X-Request-Id', request)] if request else []
        expected = fields.get('x-expect-instance')
        if expected not in (None, self.name):
            return write_message('HTTP/1.1 421 Misdirected Request',
                                 echo + [('X-Instance-Id', self.name)])
        if first.split(' ')[1] == '/healthz':
            return write_message('HTTP/1.1 200 OK',
                                 [('X-Instance-Id', self.name)])
        if not request:
            return write_message('HTTP/1.1 400 Bad Request',
                                 [('X-Not-Executed', '1')])
        took, status = self.work(first.split(' ')[0])
        begun = now()
        self.runs.append((begun, request, status, took))
        self.record.line(f'run {request} {first} at {self.name} '
                         f'({self.service} {self.version}) -> {status} '
                         f'{took * 1000:.0f} ms', begun)
        await asyncio.sleep(took)
        stamp = [('X-Server-Stamp', f'{self.name}.{request}')]
        return write_message(f'HTTP/1.1 {status} x', echo + stamp, b'x' * 800)


class Entry:
    """One process of the deploy file's role, with settings as the template
    renders them for a machine of the small site."""

    def __init__(self, folder, name, zone, store_address):
        self.name = name
        self.zone = zone
        self.folder = folder
        self.ports = {kind: f'{HOST}:{free_port()}' for kind in
                      ('callers', 'readiness', 'directory', 'peers')}
        self.address = self.ports['callers']
        settings = folder / f'{name}.json'
        settings.write_text(json.dumps({
            'vm': name, 'data_centre': zone, 'listen': self.ports,
            'store': store_address, 'stop_s': 8, 'descriptors': 4100,
            'memory_mb': 260, 'cpu_share': 0.25, 'link_mbps': 1000.0,
            'retries': {'ratio': 0.2, 'slack': 52, 'window_s': 10},
            'rollouts': {'share': 0.1, 'slack': 50},
            'log': {'level': 'info', 'format': 'json'}}))
        self.settings = settings
        self.log = folder / f'{name}.log'
        self.process = None

    def start(self):
        # The command of deploy/system.toml.
        self.process = subprocess.Popen(
            [str(PROGRAM), '--settings-from', 'TURMERICFRONT_NODE_FILE'],
            cwd=ROOT, stdout=open(self.log, 'ab'), stderr=subprocess.STDOUT,
            preexec_fn=end_with_parent,
            env={'PATH': os.environ['PATH'],
                 'TURMERICFRONT_NODE_FILE': str(self.settings)})

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.ports['readiness'], 'GET', '/api/ready',
                                [], timeout=1)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer[0] == 200


def free_port():
    """Returns a free port for TCP and UDP, below those that the system gives
    to outgoing channels."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
            return port


async def call(address, method, target, fields, body=b'', timeout=5.0):
    """One call on a channel of its own. Returns status, fields and body, or
    None if the channel ended without a complete answer."""
    host, port = address.rsplit(':', 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(write_message(
                f'{method} {target} HTTP/1.1', fields, body))
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return None
        return int(message[0].split(' ')[1]), message[1], message[2]

    return await asyncio.wait_for(exchange(), timeout)


class Fleet:
    """A store and some entry processes, in a temporary folder."""

    def __init__(self, record, zones):
        self.record = record
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.store = Store()
        self.entries = []
        self.random = random.Random(50)

    async def start(self):
        await self.store.start()
        self.entries = [Entry(self.folder, f'front-{number}', zone,
                              self.store.address)
                        for number, zone in enumerate(self.zones)]
        for entry in self.entries:
            entry.start()

    async def wait_until_ready(self, limit_s=15):
        end = now() + limit_s
        while now() < end:
            ready = [await entry.is_ready() for entry in self.entries]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version, routes, services, tenants):
    common = {'Host': 'desk.example', 'TimeoutMs': 2500, 'SloMs': 500,
              'Priority': 0, 'MaxAttempts': 1, 'Public': False,
              'Sticky': False, 'Resumable': False}
    return {'Version': version,
            'Routes': [{**common, **route} for route in routes],
            'Services': [{'Name': name, 'HealthPath': '/healthz',
                          'MaxConns': 96, 'Protocol': 'h1', 'Tls': False}
                         for name in services],
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
            'Tenants': tenants}


async def play(case, limit_s):
    """Runs a case to its end and ends all that it started. Returns 2 if it
    could not run, also on an error or when it is told to end."""
    task = asyncio.ensure_future(case.run())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, limit_s)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
    finally:
        case.fleet.close()
        case.record.close()


def run_case(case_class, limit_s=110):
    """Runs a case and ends this process with its result."""
    async def run():
        code = await play(case_class(), limit_s)
        sys.stdout.flush()
        sys.stderr.flush()
        # Channels of the stand-ins may still be open.
        os._exit(code)
    asyncio.run(run())
