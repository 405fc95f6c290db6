"""The engines of a service refuse part of their requests; all processes are killed
at once in the middle of it and start again with a fresh retry budget."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from small_site import (BROKEN, HELD, TROUBLE, Consumer, CouldNotRun, Engine,  # noqa: E402
                        Site, configuration, route, run_case)

MACHINES = 6
PER_SECOND = 55
CONSUMERS = 110
GREY_SHARE = 0.45             # of the requests, refused by every engine
WINDOW_S, RATIO, EXTRA = 10.0, 0.2, 52


class Ledger(Engine):
    """Refuses a part of its requests while it is grey."""

    grey = False

    def refuses(self, headers):
        return self.grey and random.random() < GREY_SHARE

    async def run(self, reader, writer, target, headers, body, echo):
        await asyncio.sleep(0.03)
        self.plain(writer, 200, {**echo, "X-Response-Signature": f"{self.id}.1"}, b"b" * 800)
        await writer.drain()
        return True


async def consumers(site, sent, until):
    """Look-ups at a steady rate on kept channels; each refused one is repeated once,
    as a new request."""
    free = collections.deque(Consumer(site, site.choose) for _ in range(CONSUMERS))
    open_calls = set()

    async def call(consumer):
        for _ in range(2):
            answer = await consumer.ask("GET", "/stock/x", time_limit_s=2.5)
            sent.append(answer)
            if answer.complete and answer.status == 200:
                break
            consumer.close()
            await asyncio.sleep(min(float(answer.headers.get("retry-after", 0.2)), 0.8))
        free.append(consumer)

    while time.monotonic() < until:
        if free:
            task = asyncio.ensure_future(call(free.popleft()))
            open_calls.add(task)
            task.add_done_callback(open_calls.discard)
        await asyncio.sleep(random.expovariate(PER_SECOND))
    await asyncio.gather(*open_calls)


def worst_window(requests, repeats):
    """The window with the most repeats beyond the bound: (over, start, repeats, bound)."""
    worst = None

    def count(times, start):
        return sum(start <= each < start + WINDOW_S for each in times)

    for start in sorted(repeats):
        asked = max(count(requests, start - back) for back in (0, WINDOW_S / 2, WINDOW_S))
        bound = RATIO * asked + EXTRA
        came = count(repeats, start)
        if worst is None or came - bound > worst[0]:
            worst = (came - bound, start, came, bound)
    return worst or (-EXTRA, 0.0, 0, EXTRA)


async def main(folder):
    async with Site(folder) as site:
        await site.store.put("op/config", configuration(
            1, [route("stock", "idempotent", "ledger", max_attempts=2, timeout_ms=2500)],
            [{"name": "ledger", "health_check_path": "/health", "connection_limit": 96,
              "protocol": "h1", "tls": False}]))
        engines = await site.add_engines(Ledger, 3, "ledger", "hall", 6, queue=30)
        await site.start_daemons(["hall", "hall", "yard", "yard", "dock", "dock"])
        sent = []
        traffic = asyncio.ensure_future(consumers(site, sent, time.monotonic() + 32))
        await asyncio.sleep(11)
        for each in engines:
            each.grey = True
        site.record.say("engines refuse 45 in 100 of their requests")
        await asyncio.sleep(5.5)
        if TROUBLE:
            for each in site.daemons:
                each.signal(signal.SIGKILL)
        await asyncio.sleep(6.5)
        for each in engines:
            each.grey = False
        site.record.say("engines are well")
        await traffic

        arrived = collections.defaultdict(list)
        for each in engines:
            for at, request, what in each.arrivals:
                if what != "421":
                    arrived[request].append(at)
        repeats = [at for times in arrived.values() for at in sorted(times)[1:]]
        over, start, came, bound = worst_window([each.sent_at for each in sent], repeats)
        site.record.say(f"{len(sent)} requests, {len(repeats)} repeats; worst window at "
                        f"{start - site.record.began:.1f} s: {came} repeats, allowed {bound:.1f}")
        if len(sent) < 500:
            raise CouldNotRun("too few requests")
        return BROKEN if over > 0 else HELD


run_case(main, FOLDER)
