"""A small fleet with its servers, tenants and clients, for the scripts."""
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from platform_standin import (Machine, Server, Store, call, manifest,
                              stream_work)

COMMON = {'Host': 'shop.example', 'SloMs': 500, 'Priority': 0,
          'Public': False}
ROUTES = [
    {**COMMON, 'Name': 'ask', 'Prefix': '/ask/', 'Kind': 'streaming',
     'TimeoutMs': 5000, 'Service': 'llm', 'MaxAttempts': 2, 'Sticky': True,
     'Resumable': True, 'TargetGapMs': 300},
    {**COMMON, 'Name': 'pay', 'Prefix': '/pay/', 'Kind': 'unsafe',
     'TimeoutMs': 2500, 'Service': 'ledger', 'MaxAttempts': 1},
]
SERVICES = [
    {'Name': 'llm', 'HealthPath': '/healthz', 'MaxConns': 360,
     'Protocol': 'h1', 'Tls': False,
     'Engine': {'Slots': 64, 'KvCapacity': 587418, 'Stride': 3}},
    {'Name': 'ledger', 'HealthPath': '/healthz', 'MaxConns': 96,
     'Protocol': 'h1', 'Tls': False},
]


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, 'record.txt')
        self.file = open(self.path, 'w')
        self.began = time.monotonic()

    def add(self, text):
        self.file.write(f'{time.monotonic() - self.began:8.3f} {text}\n')

    def say(self, text):
        self.add(text)
        self.file.flush()
        print(text, flush=True)


class Fleet:
    def __init__(self, folder, seed=1):
        self.record = Record(folder)
        self.random = random.Random(seed)
        self.temporary = tempfile.mkdtemp(prefix='review-')
        self.store = Store()
        self.machines = []
        self.servers = []
        self.sent = 0
        self.requests = []
        self.addresses = {}

    async def start(self, machines, tenants, engines=3, ledgers=3,
                    zones=('zone-a', 'zone-b', 'zone-c'), grace_s=8,
                    memory_mb=110, events=20, event_gap_s=0.01):
        await self.store.start()
        for index in range(engines):
            server = Server(self.store, 'llm', zones[index % len(zones)], 64)
            server.work = stream_work(events, event_gap_s)
            self.servers.append(server)
        for index in range(ledgers):
            self.servers.append(
                Server(self.store, 'ledger', zones[index % len(zones)], 6))
        for server in self.servers:
            await server.start()
        self.store.put('op/config',
                       manifest(1, SERVICES, ROUTES, tenants))
        self.machines = [
            Machine(self.store, self.temporary, zones[index % len(zones)],
                    grace_s=grace_s, memory_mb=memory_mb)
            for index in range(machines)]
        await asyncio.gather(*[one.start() for one in self.machines])
        ready = await asyncio.gather(
            *[one.wait_ready() for one in self.machines])
        if not all(ready):
            raise RuntimeError('a machine did not become ready')
        self.record.say(f'{machines} machines are ready')

    async def resolve(self, client):
        """The addresses that a client uses, asked for as PROTOCOL says."""
        known = self.addresses.get(client)
        if known and time.monotonic() < known[0]:
            return known[1]
        for machine in self.random.sample(self.machines,
                                          min(3, len(self.machines))):
            answer = await call(
                machine.directory, 'GET',
                '/api/resolve?Name=shop.example&Region=r&Zone=zone-a', {},
                timeout=1)
            if answer.status == 200 and answer.is_complete:
                import json
                body = json.loads(answer.body)
                found = [(one.rsplit(':', 1)[0], int(one.rsplit(':', 1)[1]))
                         for one in body['Addresses']]
                if found:
                    self.addresses[client] = (
                        time.monotonic() + min(2, body['TtlS']), found)
                    return found
        return known[1] if known else [one.callers for one in self.machines]

    async def attempt(self, client, method, path, fields, body, limit_s,
                      failed):
        addresses = [one for one in await self.resolve(client)
                     if one not in failed]
        if not addresses:
            addresses = [one.callers for one in self.machines]
        address = self.random.choice(addresses)
        self.sent += 1
        entry = {'id': f'q-{self.sent:06d}', 'at': time.monotonic(),
                 'path': path, 'to': address}
        fields = {**fields, 'X-Request-Id': entry['id'],
                  'X-Request-Deadline': str(int(limit_s * 1000))}
        answer = await call(address, method, path, fields, body, limit_s)
        entry['answer'] = answer
        self.requests.append(entry)
        self.record.add(
            f'{entry["id"]} {method} {path} to {address[0]}: '
            f'{answer.status} {"complete" if answer.is_complete else "cut"} '
            f'{answer.error} {len(answer.body)} B')
        if answer.status is None:
            failed.add(address)
        return answer

    async def request(self, client, method, path, fields, body=b'',
                      limit_s=5.0):
        """One request of a client, with one retry after a promise."""
        began = time.monotonic()
        failed = set()
        answer = await self.attempt(client, method, path, fields, body,
                                    limit_s, failed)
        left = limit_s - (time.monotonic() - began)
        if answer.status == 503 and left > 0.2:
            wait = float(answer.fields.get('retry-after', 0.1))
            if wait <= left / 3:
                await asyncio.sleep(wait)
                left = limit_s - (time.monotonic() - began)
                answer = await self.attempt(client, method, path, fields,
                                            body, left, failed)
        return {'at': began, 'path': path, 'answer': answer,
                'served': answer.status == 200 and answer.is_complete}

    def prompt_fields(self, tenant, tokens_in, tokens_out, subject):
        self.sent_prompts = getattr(self, 'sent_prompts', 0) + 1
        return {'Authorization': f'Bearer key-{tenant}', 'X-Model': 'm',
                'X-Token-Count': f'{tokens_in},{tokens_out}',
                'X-Prompt-Prefix':
                    f'{subject:x}:{tokens_in // 2},'
                    f'{0xf0000 + self.sent_prompts:x}:{tokens_in // 2}'}

    def write_runs(self):
        for server in self.servers:
            for run in server.runs:
                self.record.add(f'ran {run["id"]} {run["path"]} at '
                                f'{server.id} for {run["fields"].get("x-tenant")}')

    async def stop(self):
        Machine.is_over = True
        for machine in self.machines:
            await machine.kill()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.file.close()


def main(run, folder, trouble):
    """Runs a case and exits as the review asks: 1 broken, 0 held, 2 could
    not run."""
    fleet = Fleet(folder)

    async def whole():
        # A script that is ended from outside ends its processes too.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await run(fleet, trouble)
        finally:
            fleet.write_runs()
            await fleet.stop()

    try:
        is_broken = asyncio.run(asyncio.wait_for(whole(), 115))
    except (Exception, asyncio.CancelledError) as failure:
        print(f'could not run: {type(failure).__name__}: {failure}')
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
