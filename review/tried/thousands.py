"""Tried for issue 35: thousands of servers, drained, gone and back in steps, with requests all the while.

Discovery lists NODES nodes, in as many shards as there are nodes divided by 50; a few real nodes serve them, under many
names. Every half second a fifteenth of the names begins to drain, is gone or is back. Exit: 0 every request has its
answer within half a second of its time, 1 some have none, 2 it could not run. TROUBLE=0: the list does not change.
"""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

NODES = int(os.environ.get("NODES", "3200"))
SECONDS = 40
RATE = 20


class Agent(Discovery):
    async def tell_all(self, entries):
        async with self.changed:
            self.index += 1
            for entry in entries:
                self.changes.append((self.index, entry))
                if entry["status"] == "left":
                    self.entries.pop(entry["name"], None)
                else:
                    self.entries[entry["name"]] = entry
            self.changes = self.changes[-4 * NODES:]
            self.record.line(f"agent: index {self.index}: {len(entries)} entries {entries[0]['status']}")
            self.changed.notify_all()


async def case(record, platform):
    agent = await Agent(record, "agent").start()
    shards = max(1, NODES // 50)
    real = [await Node(record, f"s-{number}", 0, "sala-palermo", work=0.03).start() for number in range(8)]

    def entry(number, status="active", since_ms=0):
        return dict(real[number % len(real)].entry(status, since_ms), name=f"s-{number:06x}", group=number % shards)

    await agent.tell_all([entry(number) for number in range(NODES)])
    process = platform.start("n1", palermo(), agent.address(), memory_mb=64, sockets=640, cores=0.5)
    if not await process.ready():
        raise RuntimeError("the initiator is not ready")
    await asyncio.sleep(2.0)
    late, counts, tasks, pool = [], {}, [], []

    async def ask():
        request = f"{random.getrandbits(64):016x}"
        deadline_ms = random.choice([400, 2000, 4000])
        cls = "estrazione" if deadline_ms == 4000 else "lettura-stato"
        text = command("OBJ.GET", f"{random.getrandbits(64):016x}", request,
                       f"c={cls},t=comune-plus,d={deadline_ms},volume={0x100 + random.randrange(200):016x},units=1,"
                       f"shard={random.randrange(shards)},hosts=1")
        for again in (False, True):
            resting = pool.pop() if pool and not again else None
            reader, writer = resting or await asyncio.open_connection(*process.address())
            begun = record.now()
            try:
                writer.write(text)
                kind, _ = await asyncio.wait_for(read_answer(reader), deadline_ms / 1000 + 0.5)
                pool.append((reader, writer))
                break
            except asyncio.TimeoutError:
                kind = "no answer in its time"
                break
            except (asyncio.IncompleteReadError, OSError):
                # It crossed the end of a resting connection: once more on a new one.
                kind = "connection ended"
        counts[kind] = counts.get(kind, 0) + 1
        if kind in ("no answer in its time", "connection ended"):
            late.append(request)
            record.line(f"lost: {request}, {kind}, sent {begun:.3f}, waits {deadline_ms} ms")

    async def release():
        step = NODES // 15
        order = list(range(NODES))
        random.shuffle(order)
        parts = [order[at:at + step] for at in range(0, NODES, step)]
        for at in range(len(parts) + 4):
            for back, status in ((0, "leaving"), (2, "left"), (4, "active")):
                if 0 <= at - back < len(parts):
                    since = int(time.time() * 1000) if status == "active" else 0
                    await agent.tell_all([entry(number, status, since) for number in parts[at - back]])
            await asyncio.sleep(0.5)

    if TROUBLE:
        tasks.append(asyncio.create_task(release()))
    end = record.now() + SECONDS
    while record.now() < end and process.ended() is None:
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(random.expovariate(RATE))
        if TROUBLE and tasks[0].done():
            tasks[0] = asyncio.create_task(release())
    await asyncio.sleep(5)
    crashed = process.ended() is not None
    record.line(f"nodes {NODES}, answers {counts}, crashed {crashed}")
    print(f"nodes {NODES}, answers {counts}, crashed {crashed}")
    return not late and not crashed


if __name__ == "__main__":
    main(FOLDER, case)
