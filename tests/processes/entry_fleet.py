"""Starts entry processes on a stand-in for the platform's store."""
import base64
import json
import socket
import subprocess

import fleet


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def operators_document(version, services, accounts, **route_changes):
    """The configuration as operators write it into the store."""
    common = {'Host': 'shop.example', 'TimeoutMs': 5000, 'SloMs': 500,
              'Priority': 0, 'MaxAttempts': 2, 'Public': False}
    return {
        'Version': version,
        'Routes': [
            {**common, 'Name': 'ask', 'Prefix': '/ask/', 'Kind': 'streaming',
             'Resumable': True, 'Sticky': True, 'Service': services[0],
             **route_changes},
            {**common, 'Name': 'pay', 'Prefix': '/pay/', 'Kind': 'unsafe',
             'MaxAttempts': 1, 'Service': services[1]},
        ],
        'Services': [
            {'Name': services[0], 'MaxConns': 64,
             'Engine': {'Slots': 8, 'KvCapacity': 100000, 'Stride': 1}},
            {'Name': services[1], 'MaxConns': 64},
        ],
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 1048576,
                   'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
        'Tenants': accounts,
    }


class Store:
    """The stand-in for the store, with the writes of operators and
    upstreams."""

    def __init__(self, folder):
        self.process = fleet.Process(
            folder, 'store', ['standin_key_value', '--listen', '127.0.0.1:0'])
        self.address = self.process.address

    def put(self, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        status, _, text = fleet.call(
            self.address, 'POST', '/api/kv-txn',
            {'ExpectRev': [], 'Puts': [{'Key': key, 'Value': value}],
             'Remove': []})
        assert status == 200, text

    def remove(self, key):
        status, _, text = fleet.call(
            self.address, 'POST', '/api/kv-txn',
            {'ExpectRev': [], 'Puts': [], 'Remove': [key]})
        assert status == 200, text

    def take_copy(self):
        fleet.call(self.address, 'POST', '/copy/take', {})

    def restore_copy(self):
        fleet.call(self.address, 'POST', '/copy/restore', {})

    def register(self, upstream, service, address, state='ready', slots=8):
        self.put(f'servers/{upstream}', {
            'Service': service, 'Address': address, 'Zone': 'east',
            'Version': 'v1', 'Slots': slots, 'State': state, 'ColdLeftMs': 0,
            'SeqNo': 1})


class Entry:
    """One entry process; its log goes to a file, or to `output`."""

    def __init__(self, folder, name, store_address, output=None,
                 binaries=fleet.BINARIES, memory_mb=256, more_settings=None):
        ports = {kind: f'127.0.0.1:{free_port()}' for kind in
                 ('callers', 'readiness', 'directory', 'peers')}
        self.callers = ports['callers']
        self.readiness = ports['readiness']
        self.directory = ports['directory']
        self.peers = ports['peers']
        self.settings = folder / f'{name}.json'
        self.settings.write_text(json.dumps({
            'vm': name, 'data_centre': 'east', 'listen': ports,
            'store': store_address, 'stop_ms': 4000,
            'memory_mb': memory_mb,
            'log': {'level': 'debug'}, **(more_settings or {})}))
        self.log = folder / f'{name}.log'
        self._output = open(self.log, 'w', encoding='utf-8')
        self.popen = subprocess.Popen(
            [str(binaries / 'turmeric_entry'), '--settings',
             str(self.settings)], stdout=output or self._output,
            stderr=output or self._output)

    def is_ready(self):
        try:
            return fleet.call(self.readiness, 'GET', '/api/ready',
                              timeout=2)[0] == 200
        except OSError:
            return False

    def stop(self):
        self.popen.terminate()
        return self.popen.wait(fleet.TIMEOUT_S)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait(fleet.TIMEOUT_S)
        self._output.close()

    def call(self, path, key, request_id, tokens=None, body='x'):
        headers = {'Host': 'shop.example', 'X-Request-Id': request_id,
                   'X-Request-Deadline': '4000',
                   'Authorization': f'Bearer {key}'}
        if tokens:
            headers['X-Token-Count'] = tokens
            headers['X-Model'] = 'm'
        return fleet.call(self.callers, 'POST', path, body, headers)
