#!/usr/bin/env python3
"""Runs rhubarblaned balancers on loopback and measures their membership. Uses the standard library only.

measure-control-processes.py BUILD_DIR JSON [SIZE...]    sizes default to 10 30 100
"""
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request

QUIET_SECONDS = 30
LIMIT_SECONDS = 120


def metrics(index):
    with urllib.request.urlopen(f'http://127.0.0.1:{18000 + index}/metrics', timeout=5) as reply:
        text = reply.read().decode()
    return {name: float(value) for name, value in re.findall(r'^(rhubarblane_\S+) (\S+)$', text, re.M)}


def processor_seconds(process):
    with open(f'/proc/{process.pid}/stat') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_megabytes(process):
    with open(f'/proc/{process.pid}/status') as status:
        return int(re.search(r'VmRSS:\s+(\d+)', status.read()).group(1)) / 1024


def start(program, key, index, log):
    seeds = ','.join(f'127.0.0.1:{17000 + seed}' for seed in range(3))
    return subprocess.Popen(
        [program, 'balancer', f'--name=balancer-{index}', f'--listen=127.0.0.1:{17000 + index}',
         f'--http=127.0.0.1:{18000 + index}', f'--fabric-listen=127.0.0.1:{19000 + index}', f'--key-file={key}',
         f'--balancers={seeds}', f'--availability-zone={"abcd"[index % 4]}', '--region=r', '--log-level=warn'],
        stdout=log, stderr=log)


def wait_for_members(indices, expected, limit):
    began = time.monotonic()
    waiting = set(indices)
    while waiting and time.monotonic() - began < limit:
        waiting = {index for index in waiting if metrics(index)['rhubarblane_balancers'] != expected}
        time.sleep(0.02)
    return round(time.monotonic() - began, 2), len(waiting)


def run(program, key, size, log):
    processes = {index: start(program, key, index, log) for index in range(size)}
    result = {'balancers': size}
    try:
        time.sleep(2)
        seconds, missing = wait_for_members(processes, size, LIMIT_SECONDS)
        result['start'] = {'knownSeconds': seconds + 2, 'balancersWithWrongView': missing}
        before = {index: metrics(index) for index in processes}
        used = {index: processor_seconds(process) for index, process in processes.items()}
        time.sleep(QUIET_SECONDS)
        used = [processor_seconds(process) - used[index] for index, process in processes.items()]
        after = {index: metrics(index) for index in processes}
        sent = 'rhubarblane_datagrams_sent_total{socket="peers"}'
        result['quiet'] = {
            'datagramsPerSecond': sum(after[i][sent] - before[i][sent] for i in processes) / size / QUIET_SECONDS,
            'processorMsPerSecondMean': 1000 * sum(used) / size / QUIET_SECONDS,
            'processorMsPerSecondMax': 1000 * max(used) / QUIET_SECONDS,
            'residentMegabytesMax': max(resident_megabytes(process) for process in processes.values())}
        victim = processes.pop(size // 2)
        victim.kill()
        victim.wait()
        seconds, missing = wait_for_members(processes, size - 1, 30)
        result['death'] = {'knownSeconds': seconds, 'balancersWithWrongView': missing}
        leaver = processes.pop(size // 3)
        leaver.terminate()
        leaver.wait(30)
        seconds, missing = wait_for_members(processes, size - 2, 30)
        result['leave'] = {'knownSeconds': seconds, 'balancersWithWrongView': missing}
    finally:
        for process in processes.values():
            process.kill()
        for process in processes.values():
            process.wait()
    return result


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    program = os.path.join(sys.argv[1], 'src/daemon/rhubarblaned')
    sizes = [int(size) for size in sys.argv[3:]] or [10, 30, 100]
    results = []
    with tempfile.NamedTemporaryFile('w') as key, tempfile.TemporaryFile() as log:
        key.write('key of a measurement on loopback')
        key.flush()
        for size in sizes:
            results.append(run(program, key.name, size, log))
            print(json.dumps(results[-1]), flush=True)
    with open(sys.argv[2], 'w') as out:
        json.dump(results, out, indent=1)
        out.write('\n')


if __name__ == '__main__':
    main()
