"""Tried beside the cases: a long upload is not answered in its time while its shard has no node.

Other long uploads, whose clients need seconds to write them, hold the memory for long values. A target is replaced: it
drains and leaves, and the new one is listed seconds later. Uploads of 150,000 bytes for its shard are written at once; all
their bytes are at the initiator's machine. Exit: 0 all are answered within half a second of their time, 1 some are not, 2 it
could not run. TROUBLE=0: the target stays.
"""
import asyncio
import fcntl
import os
import random
import struct
import sys
import termios

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

MEMORY_MB = 64
LONG = 4 * 1024 * 1024
# Long uploads that fill the memory for long values, a third of the whole, but for less than 100 KB.
FILLERS = [LONG] * 5 + [1_300_000]
VICTIMS = 5
VICTIM_BYTES = 150_000
DEADLINE = 3.0
# Up to half a second after its time an answer only earns nothing.
LATEST = DEADLINE + 0.5


def new_id():
    return f"{random.getrandbits(64):016x}"


def put(request, shard, body, volume):
    return command("OBJ.PUT", f"{random.getrandbits(64):016x}", request,
                   f"c=nuovo-evento,t=comune-plus,d={int(DEADLINE * 1000)},k={request},volume={volume:016x},units=8,"
                   f"shard={shard},hosts=1", body)


def unsent(sock):
    """Bytes that the initiator's machine has not taken yet."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


async def filler(record, process, number, length):
    """A long upload whose client needs seconds to write it."""
    reader, writer = await asyncio.open_connection(*process.address(), limit=1 << 20)
    request = new_id()
    text = put(request, number % 3, b"x" * length, 0x200 + number)
    step = len(text) // 60 + 1
    record.line(f"filler {number}: {request}, {length} bytes")
    for at in range(0, len(text), step):
        writer.write(text[at:at + step])
        await writer.drain()
        await asyncio.sleep(0.08)
    kind, answer = await asyncio.wait_for(read_answer(reader), 10)
    record.line(f"filler {number}: {kind} {answer[:30]!r}")
    writer.close()
    return kind


async def upload(record, process, name, length, volume):
    """An upload that is written at once; the client stays longer than it has to. Returns its answer and when it came."""
    loop, request = asyncio.get_running_loop(), new_id()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, process.address())
    begun = record.now()
    await loop.sock_sendall(sock, put(request, 3, b"y" * length, volume))
    while unsent(sock) and record.now() < begun + 3:
        await asyncio.sleep(0.005)
    last = record.now()
    record.line(f"client: {name} {request}, {length} bytes; not yet at the initiator's machine after"
                f" {last - begun:.3f} s: {unsent(sock)} bytes")
    if unsent(sock):
        sock.close()
        return "not written", last - begun
    try:
        answer = await asyncio.wait_for(loop.sock_recv(sock, 4096), 30)
    except asyncio.TimeoutError:
        answer = b"nothing"
    except OSError as error:
        answer = repr(error).encode()
    after = record.now() - last
    record.line(f"client: {name} {request}: {answer[:60]!r} {after:.3f} s after its last byte, it waits {DEADLINE} s")
    sock.close()
    return answer[:20], after


async def case(record, platform):
    agent = await Discovery(record, "agent").start()
    nodes = [await Node(record, f"s-{number}", number, "sala-palermo").start() for number in range(4)]
    for node in nodes:
        await agent.tell(**node.entry())
    process = platform.start("n1", palermo(), agent.address(), memory_mb=MEMORY_MB, sockets=640)
    if not await process.ready():
        raise RuntimeError("the initiator is not ready")
    await asyncio.sleep(1.0)
    if TROUBLE:
        # A target is replaced: it drains, leaves, and the new one is listed some seconds later.
        await agent.tell(name="s-3", status="leaving")
        await asyncio.sleep(2.5)
        await agent.tell(name="s-3", status="left")
    await asyncio.sleep(0.5)
    fillers = [asyncio.create_task(filler(record, process, number, length)) for number, length in enumerate(FILLERS)]
    await asyncio.sleep(1.0)
    short = [asyncio.create_task(upload(record, process, "short upload", 1000, 0x300 + number))
             for number in range(VICTIMS)]
    long = [asyncio.create_task(upload(record, process, "long upload", VICTIM_BYTES, 0x400 + number))
            for number in range(VICTIMS)]
    await asyncio.sleep(5.5)
    if TROUBLE:
        replacement = await Node(record, "s-9", 3, "sala-palermo").start()
        await agent.tell(**replacement.entry("active", int(time.time() * 1000)))
    short, long = await asyncio.gather(*short), await asyncio.gather(*long)
    kinds = await asyncio.gather(*fillers)
    if any(answer == "not written" for answer, _ in short + long):
        raise RuntimeError("an upload was not written to its last byte")
    late = [after for _, after in short + long if after > LATEST]
    text = (f"short uploads answered after {[round(after, 2) for _, after in short]} s, long ones after"
            f" {[round(after, 2) for _, after in long]} s, other long ones {kinds}; too late {len(late)}")
    record.line(text)
    print(text)
    return not late


if __name__ == "__main__":
    main(FOLDER, case)
