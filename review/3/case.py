"""Case 3: a long value that its node breaks off takes the answers of other requests with it."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

LONG = 1_000_000
ROUNDS = 5
# The longest time of the requests, 6 s, and half a second.
LATEST = 6.5


def new_id():
    return f"{random.getrandbits(64):016x}"


def attributes(cls, deadline_ms, shard, key=""):
    volume = 0x100 + random.randrange(40)
    return f"c={cls},t=comune-plus,d={deadline_ms},{key}volume={volume:016x},units=1,shard={shard},hosts=1"


def put(request):
    """A new object, which may go to any node."""
    return command("OBJ.PUT", f"{random.getrandbits(64):016x}", request,
                   attributes("nuovo-evento", 3000, -1, f"k={request},"), b"light 17 is dark")


def get(request, shard):
    return command("OBJ.GET", f"{random.getrandbits(64):016x}", request, attributes("estrazione", 6000, shard))


class LongNode(Node):
    """The values that are read here are long. With the trouble connections are reset in the middle of one."""

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                words = await read_command(reader)
                request = words[2].decode()
                self.begun.setdefault(request, []).append(self.record.now())
                self.record.line(f"{self.name}: {words[0].decode()} {request} begins")
                if words[0] == b"OBJ.PUT":
                    answer = await self.behave(words, 0)
                    self.ran.setdefault(request, []).append(self.record.now())
                    writer.write(answer)
                    await writer.drain()
                    continue
                value = value_of(words[1], words[2]) + b"." * LONG
                text = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
                writer.write(text[:150_000])
                await writer.drain()
                await asyncio.sleep(0.1)
                if TROUBLE:
                    self.record.line(f"{self.name}: the connection is reset in the middle of the value of {request}")
                    writer.transport.abort()
                    return
                writer.write(text[150_000:])
                await writer.drain()
                self.ran.setdefault(request, []).append(self.record.now())
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def one_round(record, process, nodes, number):
    """A write, a long read behind it and another write, at once on one connection. Returns how many are lost."""
    reader, writer = await asyncio.open_connection(*process.address(), limit=8 * 1024 * 1024)
    first, long, last = new_id(), new_id(), new_id()
    writer.write(put(first) + get(long, 3) + put(last))
    await writer.drain()
    record.line(f"client: round {number}: write {first}, long read {long}, write {last}")
    answers, begun = {}, False
    try:
        for request in (first, long, last):
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), LATEST)
            if request == long:
                begun = line.startswith(b"$")
            if line.startswith(b"$") and line != b"$-1\r\n":
                value = (await asyncio.wait_for(reader.readexactly(int(line[1:]) + 2), LATEST))[:-2]
                answers[request] = f"served {len(value)} bytes"
            else:
                answers[request] = line[:-2].decode()
            record.line(f"client: {request} {answers[request]}")
    except asyncio.TimeoutError:
        record.line("client: no further answer")
    except (asyncio.IncompleteReadError, OSError) as error:
        record.line(f"client: the initiator ended the connection: {error!r}")
    writer.close()
    # The writes run to their end.
    await asyncio.sleep(0.6)
    lost = 0
    for request in (first, last):
        if request not in answers:
            # Once a part of the long value is passed on, only the end of the connection can tell that it is not whole.
            excused = request == last and begun
            node = next((node for node in nodes if request in node.begun), None)
            # A request that was not sent on may have been left unread; its client sends it once more.
            excused = excused or node is None
            where = f"begun by {node.name} at {node.begun[request]}, run at {node.ran.get(request)}" if node else "not begun"
            record.line(f"{'excused' if excused else 'lost'}: write {request}, {where}, no answer")
            lost += not excused
    if long not in answers and not begun and long in nodes[3].begun:
        record.line(f"lost: read {long}: no part of a value was passed on, no answer")
        lost += 1
    return lost


async def case(record, platform):
    agent = await Discovery(record, "agent").start()
    nodes = [await Node(record, f"s-{number}", number, "sala-palermo", work=0.3).start() for number in range(3)]
    nodes.append(await LongNode(record, "s-3", 3, "sala-palermo").start())
    for node in nodes:
        await agent.tell(**node.entry())
    process = platform.start("n1", palermo(), agent.address(), memory_mb=64, sockets=640)
    if not await process.ready():
        raise RuntimeError("the initiator is not ready")
    await asyncio.sleep(0.5)
    lost = 0
    for number in range(ROUNDS):
        lost += await one_round(record, process, nodes, number)
        await asyncio.sleep(0.3)
    if process.ended() is not None:
        raise RuntimeError("the initiator has ended")
    record.line(f"requests {3 * ROUNDS}, lost {lost}")
    print(f"lost {lost}")
    return lost == 0


if __name__ == "__main__":
    main(FOLDER, case)
