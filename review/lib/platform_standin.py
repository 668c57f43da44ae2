"""Small stand-ins for the platform: its store, its servers and its clients.

Everything runs in one asyncio loop, on loopback addresses only. The stand-ins
follow PROTOCOL: they answer each call once, and disturb nothing by themselves.
"""
import asyncio
import base64
import json
import os
import re
import signal
import socket
import tempfile
import time
import urllib.parse

REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Failed',
           421: 'Misdirected Request', 500: 'Error',
           503: 'Service Unavailable'}


async def read_head(reader):
    """Returns the start line and the fields of a message, or None at its
    end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(fields.get('content-length', 0)))


def response(status, body=b'', fields=()):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in fields]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.calls = 0
        # Called with (method, path, body); may wait, or return 'drop'.
        self.before = None
        self.after = None

    async def start(self, host='127.0.0.1'):
        self.server = await asyncio.start_server(self._serve, host, 0,
                                                 limit=1 << 24)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [one for one, (_, end) in self.leases.items()
                          if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items()
                    if item['Lease'] == lease]:
            self.revision += 1
            del self.items[key]
            self._note({'Key': key, 'Revision': self.revision,
                        'Deleted': True})

    def _note(self, event):
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease=0, revision=None):
        if not isinstance(value, str):
            value = base64.b64encode(json.dumps(value).encode()).decode()
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items.get(key, {}).get('Created', revision)
        item = {'Key': key, 'Value': value, 'Revision': revision,
                'Created': created, 'Lease': lease}
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._note({'Key': key, 'Revision': self.revision,
                        'Deleted': True})

    def value(self, key):
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item['Value']))

    def transact(self, body):
        for row in body.get('ExpectRev', []):
            item = self.items.get(row['Key'])
            if (item['Revision'] if item else 0) != row['Revision']:
                current = [self.items[one['Key']]
                           for one in body['ExpectRev']
                           if one['Key'] in self.items]
                return 412, {'Items': current, 'CurrentRev': self.revision}
        for put in body.get('Puts', []):
            if put.get('Lease') and put['Lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        revision = self.revision
        for put in body.get('Puts', []):
            self.put(put['Key'], put['Value'], put.get('Lease', 0), revision)
        for key in body.get('Remove', []):
            if self.items.pop(key, None):
                self._note({'Key': key, 'Revision': revision,
                            'Deleted': True})
        return 200, {'Revision': revision}

    async def _answer(self, method, path, query, body):
        if path == '/api/kv-key':
            item = self.items.get(query['Key'])
            return (200, {**item, 'CurrentRev': self.revision}) if item \
                else (404, {'CurrentRev': self.revision})
        if path == '/api/kv-range':
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(query['Prefix'])
                     and key > query.get('After', '')]
            return 200, {'Items': items[:500], 'MorePages': len(items) > 500,
                         'CurrentRev': self.revision}
        if path == '/api/kv-watch':
            end = time.monotonic() + int(query['WaitMs']) / 1000
            while True:
                found = [event for event in self.events
                         if event['Revision'] > int(query['After'])
                         and event['Key'].startswith(query['Prefix'])]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {'events': found, 'CurrentRev': self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == '/api/kv-txn':
            return self.transact(body)
        if path == '/api/kv-lease':
            self.next_lease += 1
            self.leases[self.next_lease] = (
                body['TtlMs'], time.monotonic() + body['TtlMs'] / 1000)
            return 200, {'Lease': self.next_lease, 'TtlMs': body['TtlMs']}
        number = int(path.rsplit('/', 1)[1])
        if number not in self.leases:
            return 404, {}
        if path.startswith('/api/kv-keep/'):
            ttl = self.leases[number][0]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'TtlMs': ttl}
        self.end_lease(number)
        return 200, {}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                self.calls += 1
                method, target, _ = head[0].split(' ')
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = json.loads(body) if body else {}
                peer = writer.get_extra_info('peername')
                if self.before and await self.before(
                        method, url.path, query, body, peer) == 'drop':
                    await asyncio.sleep(30)
                    break
                status, answer = await self._answer(method, url.path, query,
                                                    body)
                if self.after and await self.after(
                        method, url.path, query, body, status,
                        peer) == 'drop':
                    await asyncio.sleep(30)
                    break
                writer.write(response(
                    status, json.dumps(answer).encode(),
                    [('Content-Type', 'application/json')]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def render(template, values):
    """Renders the deploy file's template of the settings file, as DEPLOY
    says."""
    def find(path, scope):
        for part in path.split('.'):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = (scope or {}).get(part)
        return scope

    def section(match):
        sign, path, inner = match.groups()
        value = find(path, values)
        if isinstance(value, (list, dict)) or value in (None, False, ''):
            is_shown = bool(value)
        else:
            is_shown = True
        return render(inner, values) if is_shown == (sign == '#') else ''

    text = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section,
                  template, flags=re.S)

    def placeholder(match):
        path, form = match.groups()
        value = find(path, values)
        if form:
            return json.dumps(value)
        return '' if value is None else str(value)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', placeholder, text)


def repository():
    return os.path.dirname(os.path.dirname(os.path.dirname(
        os.path.abspath(__file__))))


class Machine:
    """An entry machine: one process, started as the deploy file says."""

    used = 0
    # Set at the end of a script: no process is started after that.
    is_over = False

    def __init__(self, store, folder, zone='zone-a', grace_s=8, log='info',
                 memory_mb=110, name=None):
        Machine.used += 1
        self.number = Machine.used
        self.ip = f'127.0.3.{self.number}'
        self.name = name or f'front-{zone}-{self.number}'
        ports = []
        sockets = []
        for _ in range(4):
            probe = socket.socket()
            probe.bind((self.ip, 0))
            ports.append(probe.getsockname()[1])
            sockets.append(probe)
        for probe in sockets:
            probe.close()
        self.callers, self.readiness, self.directory, self.peers = (
            (self.ip, port) for port in ports)
        values = {
            'NodeName': self.name, 'Zone': zone, 'Ip': self.ip,
            'Listen': {'Front': f'{self.ip}:{ports[0]}',
                       'Readiness': f'{self.ip}:{ports[1]}',
                       'Directory': f'{self.ip}:{ports[2]}'},
            'PortRange': [ports[3], ports[3] + 1],
            'Platform': {'Address': store.address},
            'Limits': {'MaxFds': 4100, 'MemoryMb': memory_mb},
            'Bounds': {'GraceS': grace_s, 'RetryBudgetRatio': 0.2,
                       'RetrySlack': 52, 'RetryWindowS': 10,
                       'CanaryShare': 0.1, 'CanarySlack': 50}}
        root = repository()
        with open(os.path.join(
                root, 'deploy', 'entry_settings.json.template')) as file:
            text = render(file.read(), values)
        text = text.replace('"level": "info"', f'"level": "{log}"')
        self.settings = os.path.join(folder, f'{self.name}.yaml')
        with open(self.settings, 'w') as file:
            file.write(text)
        self.log = os.path.join(folder, f'{self.name}.log')
        self.process = None

    async def start(self):
        if Machine.is_over:
            return
        root = repository()
        with open(os.path.join(root, 'deploy', 'system.toml')) as file:
            run = re.search(r'^run = "(.*)"', file.read(), re.M).group(1)
        with open(self.log, 'ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *run.split(' '), cwd=root, stdout=output, stderr=output,
                env={'TURMERICFRONT_NODE_FILE': self.settings,
                     'PATH': os.environ['PATH'], 'LANG': 'C'})
        if Machine.is_over:
            self.process.kill()

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self):
        with open(f'/proc/{self.process.pid}/status') as file:
            found = re.search(r'VmRSS:\s+(\d+)', file.read())
        return int(found.group(1)) / 1024 if found else 0

    async def is_ready(self):
        try:
            answer = await call(self.readiness, 'GET', '/api/ready', {},
                                timeout=1)
            return answer is not None and answer.status == 200
        except OSError:
            return False

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Answer:
    def __init__(self):
        self.status = None
        self.fields = {}
        self.body = b''
        self.is_complete = False
        self.error = ''


async def receive(reader, answer, on_part=None):
    """Reads a response. Sets `is_complete` only at its proper end."""
    while True:
        head = await read_head(reader)
        if head is None:
            answer.error = 'closed'
            return answer
        status = int(head[0].split(' ')[1])
        if status >= 200:
            break
    answer.status, answer.fields = status, head[1]
    try:
        if answer.fields.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                line = await reader.readline()
                if not line.endswith(b'\n'):
                    answer.error = 'cut'
                    return answer
                size = int(line.split(b';')[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
                if on_part:
                    on_part(answer)
        elif 'content-length' in answer.fields:
            answer.body = await reader.readexactly(
                int(answer.fields['content-length']))
        else:
            answer.body = await reader.read()
        answer.is_complete = True
    except (ConnectionError, asyncio.IncompleteReadError):
        answer.error = 'cut'
    return answer


def request_bytes(method, path, fields, body=b'', host='shop.example'):
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    if method != 'GET' or body:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def call(address, method, path, fields, body=b'', timeout=10,
               channel=None, on_part=None):
    """Sends one request and returns its answer; None at the time limit."""
    answer = Answer()
    own = channel is None
    try:
        if own:
            channel = await asyncio.wait_for(
                asyncio.open_connection(*address, limit=1 << 20), 1)
        reader, writer = channel
        writer.write(request_bytes(method, path, fields, body))

        async def both():
            # Reading starts at once: a refusal may come before all is sent.
            drained = asyncio.ensure_future(writer.drain())
            try:
                await receive(reader, answer, on_part)
            finally:
                drained.cancel()
                try:
                    await drained
                except (asyncio.CancelledError, ConnectionError):
                    pass
        await asyncio.wait_for(both(), timeout)
    except asyncio.TimeoutError:
        answer.error = answer.error or 'time limit'
    except (ConnectionError, OSError) as failure:
        answer.error = answer.error or type(failure).__name__
    finally:
        if own and channel is not None:
            channel[1].close()
    return answer


class Server:
    """A server of the platform. `work` writes the answer; it gets (self,
    request, writer) and returns whether the channel stays open."""

    count = 0

    def __init__(self, store, service, zone='zone-a', slots=48, version='v1',
                 beat_s=1.2, host='127.0.4.1', read_rate=None):
        Server.count += 1
        self.id = f'i-{Server.count:08x}'
        self.store, self.service, self.zone = store, service, zone
        self.slots, self.version, self.beat_s = slots, version, beat_s
        self.host = host
        self.state = 'ready'
        self.sequence = 0
        self.runs = []
        # Ids of the requests whose head has arrived.
        self.received = set()
        self.channels = set()
        self.running = 0
        # Bytes a second at which bodies are read; None: as they come.
        self.read_rate = read_rate
        self.work = plain_work

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.host, port,
                                                 limit=1 << 18)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'
        self.born = int(time.time() * 1000)
        self._task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.beat_s)

    def write_entry(self):
        self.sequence += 1
        self.store.put(f'servers/{self.id}', {
            'Service': self.service, 'Address': self.address,
            'Zone': self.zone, 'Version': self.version, 'Slots': self.slots,
            'State': self.state, 'ColdLeftMs': 0, 'SeqNo': self.sequence,
            'born': self.born})

    async def _read(self, reader, fields):
        size = int(fields.get('content-length', 0))
        body = bytearray()
        while len(body) < size:
            if self.read_rate:
                part = await reader.read(min(16384, size - len(body)))
                await asyncio.sleep(len(part) / self.read_rate)
            else:
                part = await reader.read(min(1 << 18, size - len(body)))
            if not part:
                raise ConnectionError
            body += part
        return bytes(body)

    def crash(self):
        """Ends at once: all channels are reset, and nothing is reported."""
        self.server.close()
        self._task.cancel()
        for writer in list(self.channels):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ')
                fields = head[1]
                if target in ('/api/report', '/healthz'):
                    body = json.dumps({
                        'Stage': 'both', 'Models': [], 'Busy': False,
                        'SeqNo': self.sequence, 'NumWaiting': 0,
                        'NumRunning': self.running, 'KvUsed': 0,
                        'KvTotal': 100000, 'Handles': 0}).encode()
                    writer.write(response(200, body,
                                          [('X-Instance-Id', self.id)]))
                    await writer.drain()
                    continue
                self.received.add(fields.get('x-request-id'))
                body = await self._read(reader, fields)
                expected = fields.get('x-expect-instance', self.id)
                if expected != self.id:
                    writer.write(response(421, b'', [
                        ('X-Instance-Id', self.id),
                        ('X-Request-Id', fields.get('x-request-id', ''))]))
                    await writer.drain()
                    continue
                run = {'id': fields.get('x-request-id'), 'path': target,
                       'method': method, 'fields': fields, 'at': time.time(),
                       'server': self.id, 'body': len(body), 'end': None}
                self.runs.append(run)
                self.running += 1
                try:
                    if not await self.work(self, run, writer, reader):
                        break
                    run['end'] = time.time()
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()


def own_fields(server, run):
    return [('X-Request-Id', run['id']),
            ('X-Server-Stamp', f'{server.id}.{run["id"]}'),
            ('Keep-Alive', 'timeout=10')]


async def plain_work(server, run, writer, _reader, work_s=0.03):
    await asyncio.sleep(work_s)
    writer.write(response(200, b'done ' * 160, own_fields(server, run)))
    await writer.drain()
    return True


def stream_work(events=93, gap_s=0.02, first_s=0.05):
    """A stream of events, as an engine sends it."""
    async def work(server, run, writer, _reader):
        start = int(run['fields'].get('last-event-id', 0))
        await asyncio.sleep(first_s)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked']
        lines += [f'{name}: {value}' for name, value in own_fields(server, run)]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(start + 1, events + 1):
            event = f'id: {number}\ndata: piece {number} of {run["id"]}\n\n'
            data = event.encode()
            writer.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True
    return work


def manifest(version, services, routes, tenants, **limits):
    return {'Version': version, 'Routes': routes, 'Services': services,
            'Tenants': tenants,
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000,
                       **limits}}
