#!/usr/bin/env python3
"""Starts stand-ins, two routers and a controller, and sends one request."""
import argparse
import hashlib
import http.client
import json
import pathlib
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEAMS = {'hlaupabraut': ('race-office', 'season', 'rulings',
                         'Rider 7 cut the flag at the third turn. Ruling?'),
         'cedarbin': ('resident-app', 'year', 'debris-questions',
                      'Do blackberry canes go into the green bin?')}
TOP_UP_TOKENS = 100_000
RESPONSE_TOKENS = 24
DAEMON_COUNT = 3
TIMEOUT_SECONDS = 30


class Fleet:
    """The processes of one team's deployment."""

    def __init__(self, team, binaries):
        self.team = team
        self.binaries = binaries
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='turmeric-'))
        self.processes = []
        self.operator_key = secrets.token_hex(16)

    def start(self, name, arguments):
        log = open(self.folder / f'{name}.log', 'w', encoding='utf-8')
        process = subprocess.Popen(
            [str(self.binaries / arguments[0]), *arguments[1:]],
            stdout=subprocess.PIPE, stderr=log, text=True)
        self.processes.append(process)
        line = process.stdout.readline()
        if not line:
            raise SystemExit(f'{name} did not start, see {log.name}')
        return json.loads(line)

    def start_standin(self, name, program, *options):
        ready = self.start(name, [program, '--listen', '127.0.0.1:0', *options])
        return ready['listening']

    def start_daemon(self, name, program, example, listen, **extra):
        settings = json.loads(
            (ROOT / 'examples' / self.team / 'settings' / example).read_text())
        settings['name'] = name
        settings['platform'] = {'key_value': [self.key_value],
                                'vm_list': self.vm_list}
        settings['listen'] = {'host': '127.0.0.1', **listen}
        settings.update(extra)
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=4))
        return self.start(name, [program, '--settings', str(path)])

    def start_upstreams(self):
        """Starts a stand-in for each declared upstream, and writes the
        declarations with the addresses on which they listen."""
        source = ROOT / 'examples' / self.team / 'declarations'
        target = self.folder / 'declarations'
        target.mkdir()
        for path in source.glob('*.json'):
            declared = json.loads(path.read_text())
            for item in declared:
                if item['kind'] == 'upstream':
                    item['address'] = self.start_upstream(item)
            (target / path.name).write_text(json.dumps(declared, indent=4))

    def start_upstream(self, declared):
        if declared['name'].startswith('engine'):
            return self.start_standin(
                declared['name'], 'standin_engine', '--versions',
                ','.join(declared['versions']), '--heeds-fencing')
        return self.start_standin(declared['name'], 'standin_service')

    def start_all(self):
        self.key_value = self.start_standin('key-value', 'standin_key_value')
        self.vm_list = self.start_standin('vm-list', 'standin_vm_list')
        self.start_upstreams()
        digest = hashlib.sha256(self.operator_key.encode()).hexdigest()
        controller = self.start_daemon(
            'controller-1', 'turmeric_controller', 'controller.json',
            {'operator_port': 0, 'peer_port': 0},
            operators={'key_digests': [digest]})
        self.controller = controller['operator_address']
        (self.folder / 'operator.key').write_text(self.operator_key)
        self.routers = [
            self.start_daemon(f'router-{number}', 'turmeric_router',
                              'router.json',
                              {'caller_port': 0, 'peer_port': 0},
                              vm=f'entry-{number}',
                              limits={'leave_ms': 0})['caller_address']
            for number in (1, 2)]

    def operate(self, *arguments):
        command = [str(self.binaries / 'turmericctl'),
                   '--controllers', self.controller,
                   '--key-file', str(self.folder / 'operator.key'), *arguments]
        done = subprocess.run(command, capture_output=True, text=True,
                              check=False)
        if done.returncode != 0:
            raise SystemExit(f'turmericctl {arguments}: {done.stderr}')
        return done.stdout

    def stop(self):
        # The daemons stop first, because a router settles its budgets with the
        # platform when it stops.
        daemons = self.processes[-DAEMON_COUNT:]
        for group in (daemons, self.processes[:-DAEMON_COUNT]):
            for process in group:
                process.terminate()
            for process in group:
                try:
                    process.wait(TIMEOUT_SECONDS)
                except subprocess.TimeoutExpired:
                    process.kill()
        shutil.rmtree(self.folder)


def get(address, path):
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    connection.request('GET', path)
    reply = connection.getresponse()
    return reply.status, reply.read().decode()


def wait_until_ready(fleet):
    end = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < end:
        located = json.loads(get(fleet.routers[0], '/v1/routers')[1])
        is_ready = all(get(router, '/readyz')[0] == 200
                       for router in fleet.routers)
        if is_ready and len(located['routers']) == len(fleet.routers):
            return located['routers']
        time.sleep(0.1)
    raise SystemExit('the routers did not become ready')


def stream_response(address, key, route, prompt):
    """Prints a streamed response; returns its tokens, its bill and whether it
    is complete."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_SECONDS)
    body = {'model': route, 'stream': True, 'max_tokens': RESPONSE_TOKENS,
            'messages': [{'role': 'user', 'content': prompt}]}
    connection.request('POST', '/v1/chat/completions', json.dumps(body),
                       {'Authorization': f'Bearer {key}',
                        'Content-Type': 'application/json'})
    reply = connection.getresponse()
    if reply.status != 200:
        raise SystemExit(f'refused: {reply.read().decode()}')
    tokens, bill, is_complete = [], None, False
    for line in reply:
        text = line.decode().strip()
        if text == 'data: [DONE]':
            is_complete = True
        elif text.startswith('data: '):
            event = json.loads(text.removeprefix('data: '))
            bill = event.get('turmeric', bill)
            for choice in event['choices']:
                token = choice['delta'].get('content')
                if token:
                    tokens.append(token)
                    print(token, end='', flush=True)
    print()
    return tokens, bill, is_complete


def run_request(fleet):
    """Sends one request and prints its bill and the balance; returns whether
    the response was complete and billed once."""
    account, budget, route, prompt = TEAMS[fleet.team]
    print(fleet.operate('apply', '-f', str(fleet.folder / 'declarations')))
    print(fleet.operate('top-up', account, budget, str(TOP_UP_TOKENS),
                        '--id', 'first'))
    created = json.loads(fleet.operate('--json', 'key', 'create', account))
    routers = wait_until_ready(fleet)
    print('routers:', ', '.join(router['address'] for router in routers))
    fleet.caller_key = created['key']
    print(f'\n{account} asks {route}: {prompt}')
    tokens, bill, is_complete = stream_response(
        routers[0]['address'], fleet.caller_key, route, prompt)
    print(f'\nbill: {json.dumps(bill)}')
    balances = json.loads(fleet.operate('--json', 'budgets', account))
    balance = next(row for row in balances['budgets']
                   if row['budget'] == budget)
    print(f'balance: {json.dumps(balance)}')
    is_billed_once = (bill is not None and
                      int(balance['settled']) == bill['tokens_billed'] > 0)
    return is_complete and len(tokens) == RESPONSE_TOKENS and is_billed_once


def run(team, binaries, is_once):
    fleet = Fleet(team, binaries)
    is_good = False
    try:
        fleet.start_all()
        is_good = run_request(fleet)
        print('\nThe response was', 'complete and billed once.' if is_good
              else 'NOT complete and billed once.')
        if is_once:
            return is_good
        print(f'routers: {", ".join(fleet.routers)}\n'
              f'controller: {fleet.controller}\n'
              f'caller key: {fleet.caller_key}\n'
              f'operator key file: {fleet.folder / "operator.key"}\n'
              'Ctrl-C stops everything.')
        while True:
            signal.pause()
    except KeyboardInterrupt:
        return is_good
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--team', choices=sorted(TEAMS))
    parser.add_argument('--once', action='store_true',
                        help='stop after the shown request; without --team, '
                        'show one of each team')
    parser.add_argument('--binaries', default=str(ROOT / 'build'))
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    teams = [options.team] if options.team else ['hlaupabraut']
    if options.once and not options.team:
        teams = sorted(TEAMS)
    results = [run(team, pathlib.Path(options.binaries), options.once)
               for team in teams]
    return 0 if all(results) else 1


sys.exit(main())
