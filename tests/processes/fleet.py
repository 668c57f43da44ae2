"""Starts a fleet of real processes on the loopback address for tests."""
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import threading
import time

BINARIES = pathlib.Path(os.environ.get(
    'TURMERIC_BINARY_DIR',
    pathlib.Path(__file__).resolve().parents[2] / 'build'))
TIMEOUT_S = 60.0
OPERATOR_KEY = 'operator-key-for-tests'


def wait_until(what, condition, timeout=TIMEOUT_S):
    """Polls `condition` until it is true; raises AssertionError after
    `timeout` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f'timed out waiting until {what}')


def call(address, method, path, body=None, headers=None, timeout=TIMEOUT_S):
    """Makes one HTTP call; returns (status, headers, body text)."""
    host, port = address.rsplit(':', 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = json.dumps(body) if isinstance(body, (dict, list)) else body
        sent = {'Content-Type': 'application/json', **(headers or {})}
        connection.request(method, path, text, sent)
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read().decode()
    finally:
        connection.close()


class Process:
    """A started program; its first line of output is a JSON object with the
    addresses on which it listens."""

    def __init__(self, folder, name, arguments):
        self.name = name
        self.log = folder / f'{name}.log'
        self._log_file = open(self.log, 'w', encoding='utf-8')
        self.popen = subprocess.Popen(
            [str(BINARIES / arguments[0]), *arguments[1:]],
            stdout=subprocess.PIPE, stderr=self._log_file, text=True)
        line = self.popen.stdout.readline()
        if not line:
            raise AssertionError(
                f'{name} did not start: {self.log.read_text()}')
        self.ready = json.loads(line)
        self.address = (self.ready.get('listening')
                        or self.ready.get('caller_address')
                        or self.ready.get('operator_address'))

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait(TIMEOUT_S)
        self.popen.stdout.close()
        self._log_file.close()

    def stop(self):
        """Requests a graceful stop and returns the exit code."""
        self.popen.terminate()
        return self.popen.wait(TIMEOUT_S)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def log_text(self):
        return self.log.read_text(encoding='utf-8')

    def set_faults(self, **faults):
        status, _, text = call(self.address, 'POST', '/faults', faults)
        assert status == 200, text

    def counts(self):
        return json.loads(call(self.address, 'GET', '/counts')[2])


class Response:
    """The response that a caller received."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.tokens = []
        self.bill = None
        self.usage = None
        self.failure = None
        self.is_complete = False

    @property
    def text(self):
        return ''.join(self.tokens)

    def add_event(self, data):
        if data == '[DONE]':
            self.is_complete = True
            return
        event = json.loads(data)
        if 'error' in event:
            self.failure = event['error']
        for choice in event.get('choices', []):
            text = choice.get('delta', {}).get('content')
            if text:
                self.tokens.append(text)
        self.usage = event.get('usage') or self.usage
        self.bill = event.get('turmeric') or self.bill


def chat_body(route, prompt, tokens, stream=True):
    return {'model': route, 'stream': stream, 'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': prompt}]}


def chat(address, key, route='ruling', prompt='Was the turn fair?',
         tokens=8, request_id=None, on_token=None, headers=None):
    """Sends a streamed chat request; a broken connection does not raise, but
    is returned as the failure."""
    response = Response()
    host, port = address.rsplit(':', 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    sent = {'Content-Type': 'application/json',
            'Authorization': f'Bearer {key}', **(headers or {})}
    if request_id:
        sent['Idempotency-Key'] = request_id
    try:
        connection.request('POST', '/v1/chat/completions',
                           json.dumps(chat_body(route, prompt, tokens)), sent)
        reply = connection.getresponse()
        response.status = reply.status
        response.headers = dict(reply.getheaders())
        if reply.status != 200:
            response.failure = json.loads(reply.read())
            return response
        while True:
            line = reply.readline()
            if not line:
                return response
            if line.startswith(b'data: '):
                response.add_event(line[len(b'data: '):].decode().strip())
                if on_token:
                    on_token(response)
    except (OSError, http.client.HTTPException, ValueError) as error:
        response.failure = response.failure or {'message': repr(error)}
        return response
    finally:
        connection.close()


class Fleet:
    """The processes of a platform, engines, routers and controllers, with
    their logs and settings in one temporary folder."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='turmeric-'))
        self.processes = []
        self.key_value = self.start('kv', 'standin_key_value')
        self.vm_list = self.start('vms', 'standin_vm_list')
        self.controllers = []
        self.routers = []

    def close(self):
        for process in reversed(self.processes):
            process.kill()
        shutil.rmtree(self.folder)

    def start(self, name, program, *options):
        process = Process(self.folder, name,
                          [program, '--listen', '127.0.0.1:0', *options])
        self.processes.append(process)
        return process

    def start_engine(self, name, *options):
        return self.start(name, 'standin_engine', *options)

    def start_daemon(self, name, program, settings):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        process = Process(self.folder, name,
                          [program, '--settings', str(path)])
        self.processes.append(process)
        return process

    def common_settings(self, name, vm, data_centre):
        return {'name': name, 'vm': vm or f'vm-{name}',
                'data_centre': data_centre,
                'platform': {'key_value': [self.key_value.address],
                             'vm_list': self.vm_list.address,
                             'timeout_ms': 1000}}

    def start_router(self, name, vm=None, data_centre='dc1', limits=None,
                     budgets=None, lease_s=3, **extra):
        settings = self.common_settings(name, vm, data_centre)
        settings['listen'] = {'host': '127.0.0.1', 'caller_port': 0,
                              'peer_port': 0}
        settings['limits'] = {'leave_ms': 100, **(limits or {})}
        settings['budgets'] = budgets or {}
        settings['lease_s'] = lease_s
        settings.update(extra)
        router = self.start_daemon(name, 'turmeric_router', settings)
        self.routers.append(router)
        return router

    def start_controller(self, name, vm=None, data_centre='dc1', **extra):
        settings = self.common_settings(name, vm, data_centre)
        settings['listen'] = {'host': '127.0.0.1', 'operator_port': 0,
                              'peer_port': 0}
        settings.update(extra)
        controller = self.start_daemon(name, 'turmeric_controller', settings)
        self.controllers.append(controller)
        return controller

    def operate(self, method, body, controller=None):
        """Makes one operator call; returns (status, JSON)."""
        target = controller or self.controllers[0]
        status, _, text = call(
            target.address, 'POST',
            f'/turmericfront.v1.Operator/{method}', body,
            {'Authorization': f'Bearer {OPERATOR_KEY}'})
        return status, json.loads(text or '{}')

    def wait_ready(self, router):
        wait_until(f'{router.name} is ready',
                   lambda: call(router.address, 'GET', '/readyz')[0] == 200)


def in_background(work, *arguments, **named):
    """Runs `work` on a thread; returns a function that joins it and
    returns the result of `work`."""
    outcome = {}
    thread = threading.Thread(
        target=lambda: outcome.update(value=work(*arguments, **named)))
    thread.start()

    def join():
        thread.join(TIMEOUT_S * 2)
        assert not thread.is_alive(), 'the background thread did not end'
        return outcome.get('value')
    return join
