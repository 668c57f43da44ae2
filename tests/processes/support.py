"""The common set-up of tests with real processes: one account, one route."""
import hashlib
import unittest

import fleet as fleets

ACCOUNT = 'family'
BUDGET = 'main'
KEY = 'caller-key-for-tests'


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def account(name=ACCOUNT, key=KEY, budget=BUDGET):
    return {'account': {'name': name, 'keyDigests': [digest(key)],
                        'budgets': [{'name': budget}]}}


def route(name='ruling', version='v1', **extra_fields):
    return {'route': {'name': name, **extra_fields, 'versions': [
        {'version': version, 'partsPerMillion': 1000000}]}}


def upstream(name, address, versions=('v1',), capacity=16,
             **extra_fields):
    return {'upstream': {'name': name, 'address': address,
                         'dataCentre': 'dc1', 'versions': list(versions),
                         'capacity': capacity, **extra_fields}}


class FleetTest(unittest.TestCase):
    """Starts a platform, engines, a controller and routers for each test."""

    engines = 2
    routers = 2
    engine_options = ('--step-us', '5000')
    router_settings = {}
    controller_settings = {}
    top_up = 1_000_000

    def setUp(self):
        self.fleet = fleets.Fleet()
        self.addCleanup(self.fleet.close)
        self.engine = [
            self.fleet.start_engine(f'engine-{number}', '--versions', 'v1,v2',
                                    *self.engine_options)
            for number in range(self.engines)]
        self.start_controller('controller-1')
        self.router = [
            self.fleet.start_router(f'router-{number}', **self.router_settings)
            for number in range(self.routers)]
        self.apply([account(), route(), *self.extra_declarations(),
                    *(upstream(engine.name, engine.address,
                               versions=('v1', 'v2'))
                      for engine in self.engine)], 'set-up')
        self.add_tokens('set-up', self.top_up)
        for router in self.router:
            self.fleet.wait_ready(router)

    def extra_declarations(self):
        return []

    def start_controller(self, name):
        return self.fleet.start_controller(
            name, operators={'key_digests': [digest(fleets.OPERATOR_KEY)]},
            **self.controller_settings)

    def apply(self, declarations, operation):
        status, reply = self.fleet.operate(
            'Apply', {'declarations': declarations, 'operation': operation})
        self.assertEqual(status, 200, reply)
        return reply

    def add_tokens(self, name, tokens):
        status, reply = self.fleet.operate(
            'TopUp', {'account': ACCOUNT, 'budget': BUDGET, 'id': name,
                      'tokens': str(tokens)})
        self.assertEqual(status, 200, reply)

    def balance(self):
        status, reply = self.fleet.operate(
            'GetBudget', {'account': ACCOUNT, 'budget': BUDGET})
        self.assertEqual(status, 200, reply)
        return {name: int(value) for name, value in reply.items()
                if name not in ('account', 'budget')}

    def assert_not_overspent(self):
        now = self.balance()
        self.assertLessEqual(now['settled'] + now['outstanding'],
                             now['topped_up'])

    def wait_settled(self, tokens):
        """Waits until `tokens` are settled, and checks that no more are."""
        fleets.wait_until(
            f'{tokens} tokens are settled, not {self.balance()}',
            lambda: self.balance()['settled'] >= tokens)
        self.assertEqual(self.balance()['settled'], tokens)

    def chat(self, router=None, **options):
        return fleets.chat((router or self.router[0]).address, KEY, **options)

    def assert_complete(self, response, tokens):
        self.assertEqual(response.status, 200, response.failure)
        self.assertTrue(response.is_complete, response.failure)
        self.assertEqual(len(response.tokens), tokens)
        self.assertEqual(response.bill['tokens_billed'],
                         response.usage['prompt_tokens'] + tokens)
