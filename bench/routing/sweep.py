#!/usr/bin/env python3
"""Runs bench_routing for each policy, size and report lag, and writes
docs/bench-routing.md: sweep.py [PROGRAM]."""
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
POLICIES = ('shares', 'round_robin', 'random', 'least_loaded', 'two_choices')
# Each size is routers, upstreams and requests per second.
SIZES = ((6, 9, 41), (34, 90, 409), (330, 880, 4000))
LAGS_MS = (0, 1000, 5000)
MEASURED_SECONDS = 60
CAPACITY = 64

INTRODUCTION = '''# Routing policies compared

Written by `bench/routing/sweep.py` from runs of `bench_routing` (seed
20261204). The bench steps the policy of each router against fake engines on
a simulated time; only the CPU per decision is real time.

Traffic: Poisson arrivals, about 4.5 requests/s for each upstream, answers of
230 tokens on average (exponential) at 40 ms each, accounts and prompt
prefixes by Zipf's law, 40 prefixes in use for each upstream. An engine holds
{capacity} requests, keeps the 50 prefixes used last, and takes 60 ms to the
first token with the prefix in its cache, 400 ms without. An account's
callers use the routers that locate answers name. Each run warms up for 60 s
and measures {measured} s.

`shares` is the product's policy; requests that find no slot wait in the
router and are refused after 5 s. The others have no limit of their own:
requests past an engine's capacity wait in the engine. `peak` is the most
that an engine held relative to its capacity, `past capacity` the part of the
requests sent to a full one; the fake does not fall over, a real one may.
'''

HEADER = '''
## {upstreams} upstreams, {routers} routers, {rate} requests/s

| policy | report lag | queueing p50 / p95 / p99 | first token p95 | cache hits | peak | past capacity | refused | CPU/decision |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
'''

ROW = ('| {policy} | {report_lag_ms:.0f} ms | {queueing_p50_ms:.0f} / '
       '{queueing_p95_ms:.0f} / {queueing_p99_ms:.0f} ms | '
       '{first_token_p95_ms:.0f} ms | {cache_hit_percent:.1f}% | '
       '{peak_held_percent:.0f}% | {over_capacity_percent:.2f}% | '
       '{refused_percent:.3f}% | {cpu_ns_per_decision:.0f} ns |\n')


def measure(program, policy, size, lag_ms):
    routers, upstreams, rate = size
    command = [program, '--policy', policy, '--routers', str(routers),
               '--upstreams', str(upstreams), '--rate', str(rate),
               '--capacity', str(CAPACITY), '--lag', str(lag_ms),
               '--measure', str(MEASURED_SECONDS)]
    run = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(run.stdout)


def main():
    program = sys.argv[1] if len(sys.argv) > 1 else str(
        ROOT / 'build' / 'bench_routing')
    page = INTRODUCTION.format(capacity=CAPACITY, measured=MEASURED_SECONDS)
    for size in SIZES:
        routers, upstreams, rate = size
        page += HEADER.format(routers=routers, upstreams=upstreams, rate=rate)
        for policy in POLICIES:
            for lag_ms in LAGS_MS:
                page += ROW.format(**measure(program, policy, size, lag_ms))
    (ROOT / 'docs' / 'bench-routing.md').write_text(page)


main()
