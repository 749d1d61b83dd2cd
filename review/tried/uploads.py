"""Tried beside the cases: long uploads of usual clients at slow nodes take more memory than the limit.

The platform kills an initiator whose memory is over `memory_mb`; with KILL=0 it only looks on, for 30 s. Exit: 0 it stayed
under the limit and runs, 1 it was killed or ended by itself, 2 it could not run. TROUBLE=0: short values, quick peers.
"""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

# As the bench draws them for the operators' day `bulk+slow+pieces`.
MEMORY_MB = int(os.environ.get("MEMORY_MB", "48"))
SOCKETS = int(os.environ.get("SOCKETS", "1024"))
KILL = os.environ.get("KILL", "1") != "0"
CORES = 0.5
# Uploads a second, and how many there are. Each has a connection of its own: fewer than a third of the descriptors.
RATE = 160
UPLOADS = SOCKETS // 3 - 11
NODES = 12
# Bytes a second that a node reads of a long value.
SLOW = int(os.environ.get("SLOW", "150000"))


def new_id():
    return f"{random.getrandbits(64):016x}"


class SlowNode(Node):
    """With the trouble it reads long values slowly, in pieces."""

    async def serve(self, reader, writer):
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        try:
            while True:
                words = []
                line = await reader.readuntil(b"\r\n")
                for _ in range(int(line[1:])):
                    left = int((await reader.readuntil(b"\r\n"))[1:]) + 2
                    word = b""
                    while left:
                        piece = await reader.read(min(left, 16 * 1024))
                        if not piece:
                            return
                        left -= len(piece)
                        if len(word) < 4096:
                            word += piece
                        elif TROUBLE:
                            await asyncio.sleep(len(piece) / SLOW)
                    words.append(word[:-2])
                request = words[2].decode()
                self.begun.setdefault(request, []).append(self.record.now())
                self.record.line(f"{self.name}: {request} begins")
                writer.write(await super().behave(words, 0))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Upload:
    """One upload of a usual client, on a connection of its own."""

    def __init__(self, record, process, number):
        self.record, self.process, self.number = record, process, number
        self.written, self.kind = False, None
        self.length = random.randrange(150_000, 4 * 1024 * 1024) if TROUBLE else random.randrange(100, 4000)

    async def run(self):
        try:
            reader, writer = await asyncio.open_connection(*self.process.address())
            request = new_id()
            attributes = (f"c=nuovo-evento,t=comune-plus,d=3000,k={request},volume={0x100 + random.randrange(60):016x},"
                          f"units=8,shard=-1,hosts=1")
            head = command("OBJ.PUT", f"{random.getrandbits(64):016x}", request, attributes, b"")
            writer.write(head[:-len(b"$0\r\n\r\n")] + b"$%d\r\n" % self.length)
            await writer.drain()
            if TROUBLE:
                # A client may need seconds to write.
                await asyncio.sleep(random.uniform(1.0, 2.0))
            writing = asyncio.create_task(self.write(writer))
            kind, text = await asyncio.wait_for(read_answer(reader), 30)
            self.kind = kind
            self.record.line(f"client: {request} of {self.length} bytes {kind} {text[:40]!r}")
            writing.cancel()
            writer.close()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError) as error:
            self.kind = f"no answer: {error!r}"
            self.record.line(f"client: upload {self.number} of {self.length} bytes, all written {self.written}: {error!r}")

    async def write(self, writer):
        piece = b"z" * (16 * 1024)
        try:
            for at in range(0, self.length, len(piece)):
                writer.write(piece[:self.length - at])
                await writer.drain()
            writer.write(b"\r\n")
            await writer.drain()
            self.written = True
        except OSError:
            pass


async def case(record, platform):
    agent = await Discovery(record, "agent").start()
    nodes = [await SlowNode(record, f"s-{number}", number, "sala-palermo").start() for number in range(NODES)]
    for node in nodes:
        await agent.tell(**node.entry())
    process = platform.start("n1", palermo(), agent.address(), memory_mb=MEMORY_MB, sockets=SOCKETS, cores=CORES)
    if not await process.ready():
        raise RuntimeError("the initiator is not ready")
    await asyncio.sleep(0.5)
    most, killed = 0, False

    async def platform_watch():
        nonlocal most, killed
        while process.ended() is None:
            now = process.resident_bytes()
            if now > most:
                if now // 2**21 > most // 2**21:
                    record.line(f"platform: {now / 2**20:.1f} MB of {MEMORY_MB} MB")
                most = now
            if KILL and now > MEMORY_MB * 2**20:
                record.line(f"platform: {now / 2**20:.1f} MB, over {MEMORY_MB} MB: the initiator is killed")
                killed = True
                process.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.01)

    watch = asyncio.create_task(platform_watch())
    uploads = [Upload(record, process, number) for number in range(UPLOADS)]
    tasks = []
    for upload in uploads:
        if killed:
            break
        tasks.append(asyncio.create_task(upload.run()))
        await asyncio.sleep(random.expovariate(RATE))
    for _ in range(250):
        if killed or all(task.done() for task in tasks):
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    watch.cancel()
    ended = process.ended() if not killed else None
    if ended is not None:
        for line in process.log_text().splitlines()[:12]:
            record.line("  " + line)
    kinds = {}
    for upload in uploads:
        kind = (upload.kind or "open").split(":")[0]
        kinds[kind] = kinds.get(kind, 0) + 1
    text = f"most memory {most / 2**20:.1f} MB of {MEMORY_MB} MB, killed {killed}, ended by itself {ended}; uploads {kinds}"
    record.line(text)
    print(text)
    return not killed and ended is None


if __name__ == "__main__":
    main(FOLDER, case)
