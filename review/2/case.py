"""A backend server that has deregistered comes back by a late heartbeat to a new control leader.

The leader is restarted as planned (SIGTERM) in between.
"""

import asyncio
import itertools
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

PATH = '/cufi504/fi50/2f'
DRAIN_S = harness.BOUNDS['drainMs'] / 1000
CONTACT_S = harness.BOUNDS['contactMs'] / 1000
LATE_S = 4.0  # "A heartbeat may arrive seconds late"
RESTART_S = 0.5  # "restarted after a short delay"
SERVES_ON_S = 9.0  # "a little longer (at times many seconds)"
INTERVAL_S = 0.15
WORK_S = 0.09  # of a booking, on the sheet
CLIENTS = 4  # of each entry


async def case(deployment: harness.Deployment, trouble: bool) -> bool:
    record = deployment.record
    backends = [
        harness.Backend(deployment, f'i-{at}f3a91c2', 'wuno96b', zone, WORK_S)
        for at, zone in enumerate(harness.ZONES)
    ]
    for backend in backends:
        await backend.start()
    await harness.put_config(deployment, harness.config(kind='unsafe'))
    await harness.wait_until_served(deployment, PATH)
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(harness.send_all(address, PATH, INTERVAL_S, record, stop))
        for address in deployment.front_addresses() * CLIENTS
    ]
    await asyncio.sleep(4)
    leaver = backends[0]
    await harness.just_after_a_beat(leaver)
    leader = harness.leader_of(deployment, leaver)
    late = asyncio.create_task(_deliver_late(deployment, leaver, leader)) if trouble else None
    await asyncio.sleep(0.3)
    gone_at = await leaver.leave()
    await asyncio.sleep(0.5)
    if trouble:
        record.note(f'{leader.name} gets SIGTERM')
        leader.send(signal.SIGTERM)
        while leader.exit_code() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        record.note(f'{leader.name} has ended')
        await asyncio.sleep(RESTART_S)
        leader.start()
        record.note(f'{leader.name} is started')
    restarted_at = record.now()
    await asyncio.sleep(max(0.0, gone_at + SERVES_ON_S - record.now()))
    ended_at = record.now()
    record.note(f'{leaver.instance} exits')
    await leaver.stop()
    stop.set()
    failed = frozenset(itertools.chain.from_iterable(await asyncio.gather(*clients)))
    if late is not None and not await late:
        raise harness.CaseError('the late heartbeat was not answered')
    for backend in backends:
        await backend.stop()
    # The core is stable again some time after the start of the process; nothing else is disturbed.
    first, last = max(gone_at + DRAIN_S, restarted_at + CONTACT_S), ended_at
    after = [at for at, _ in leaver.runs if first < at < last]
    total = sum(first < at < last for backend in backends for at, _ in backend.runs)
    text = f'from {first:.3f} to {last:.3f}: {len(after)} of {total} requests ran there'
    record.note(text)
    print(text)
    lost = [name for _, name in leaver.runs if name in failed]
    record.note(f'{len(lost)} bookings ran there, and their clients got no answer: {lost}')
    print(f'{len(lost)} bookings were cut off when it exited')
    if not total:
        raise harness.CaseError('nothing was served in the time that counts')
    return not after


async def _deliver_late(
    deployment: harness.Deployment, backend: harness.Backend, leader: harness.Node
) -> bool:
    """Sends a heartbeat to a process that stays up; it arrives late."""
    target = next(
        f'{node.ip}:{deployment.ports.control}'
        for node in deployment.controls
        if node is not leader
    )
    body = json.dumps(backend.beat_body()).encode()
    path = f'/v1/Instances.Heartbeat/{backend.instance}'
    backend.note(f'a heartbeat is on its way to {target}')
    limit_s = harness.ANSWER_LIMIT_S + LATE_S
    answer = await harness.call(target, 'POST', path, body, limit_s, LATE_S)
    status = 'nothing' if answer is None else answer.status
    backend.note(f'the heartbeat that is {LATE_S} s late reached {target}: {status}')
    return answer is not None


if __name__ == '__main__':
    sys.exit(harness.run_case(HERE / 'record.txt', case))
