"""A backend server that has deregistered gets requests again after a late heartbeat.

Its link to control is cut for some seconds. When the link is back, it deregisters; then a heartbeat
arrives that the partition had held up.
"""

import asyncio
import itertools
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

PATH = '/cufi504/fi50/2f'
DRAIN_S = harness.BOUNDS['drainMs'] / 1000
CUT_S = 5.5  # as the longest partition of a machine in sites/kpks-rail.toml
RETRANSMITTED_S = 0.9  # TCP sends held bytes again up to seconds after the link is back
SERVES_ON_S = 5.0  # "a little longer (at times many seconds)"
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
    await asyncio.sleep(harness.HEARTBEAT_S - 0.1)
    late = None
    if trouble:
        leaver.announces = False
        record.note(f'{leaver.instance} is cut off from control; its next heartbeat is on its way')
        late = asyncio.create_task(_deliver_late(leaver))
    await asyncio.sleep(CUT_S + 0.05)
    gone_at = await leaver.leave()
    await asyncio.sleep(SERVES_ON_S)
    record.note(f'{leaver.instance} exits')
    await leaver.stop()
    stop.set()
    failed = frozenset(itertools.chain.from_iterable(await asyncio.gather(*clients)))
    if late is not None and not await late:
        raise harness.CaseError('the late heartbeat was not answered')
    for backend in backends:
        await backend.stop()
    # No daemon was disturbed, so all of them were in touch all the time.
    after = [at for at, _ in leaver.runs if at > gone_at + DRAIN_S]
    total = sum(at > gone_at + DRAIN_S for backend in backends for at, _ in backend.runs)
    text = f'{len(after)} of {total} requests ran there later than {DRAIN_S} s after the ack'
    record.note(text)
    print(text)
    lost = [name for _, name in leaver.runs if name in failed]
    record.note(f'{len(lost)} bookings ran there, and their clients got no answer: {lost}')
    print(f'{len(lost)} bookings were cut off when it exited')
    if not total:
        raise harness.CaseError('nothing was served in the time that counts')
    return not after


async def _deliver_late(backend: harness.Backend) -> bool:
    """Sends a heartbeat on a connection that was open before the cut; its bytes arrive late."""
    target, body = backend.leader_hint, json.dumps(backend.beat_body()).encode()
    held_s = CUT_S + RETRANSMITTED_S
    path = f'/v1/Instances.Heartbeat/{backend.instance}'
    answer = await harness.call(target, 'POST', path, body, harness.ANSWER_LIMIT_S + held_s, held_s)
    status = 'nothing' if answer is None else answer.status
    backend.note(f'the heartbeat that was held up for {held_s} s reached {target}: {status}')
    return answer is not None


if __name__ == '__main__':
    sys.exit(harness.run_case(HERE / 'record.txt', case))
