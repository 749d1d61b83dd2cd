"""Tried beside the cases: unfinished commands of many clients take more memory than the limit.

Clients open connections, send a part of a command of 79,000 bytes and stay. The platform kills an initiator whose memory
is over `memory_mb`. Exit: 0 it stayed under the limit, 1 it was killed, 2 it could not run. TROUBLE=0: no such clients.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

MEMORY_MB = int(os.environ.get("MEMORY_MB", "48"))
SOCKETS = 1024
CLIENTS = 600


async def case(record, platform):
    agent = await Discovery(record, "agent").start()
    node = await Node(record, "s-0", 0, "sala-palermo").start()
    await agent.tell(**node.entry())
    process = platform.start("n1", palermo(), agent.address(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    if not await process.ready():
        raise RuntimeError("the initiator is not ready")
    await asyncio.sleep(0.5)
    open_clients, most, killed, tasks = [0], 0, False, []

    async def unfinished():
        """Two words of a read's four, the second of 60,000 bytes, and most of a third."""
        try:
            reader, writer = await asyncio.open_connection(*process.address())
            writer.write(b"*4\r\n$7\r\nOBJ.GET\r\n$60000\r\n" + b"x" * 60_000 + b"\r\n$20000\r\n" + b"y" * 19_000)
            await writer.drain()
            open_clients[0] += 1
            await reader.read(100)
            open_clients[0] -= 1
            writer.close()
        except OSError as error:
            record.line(f"bad client: {error!r}")

    async def platform_watch():
        nonlocal most, killed
        while process.ended() is None:
            bytes_now = process.resident_bytes()
            if bytes_now > most:
                if bytes_now // 2**21 > most // 2**21:
                    record.line(f"platform: {bytes_now / 2**20:.1f} MB of {MEMORY_MB} MB, bad clients connected"
                                f" {open_clients[0]}")
                most = bytes_now
            if bytes_now > MEMORY_MB * 2**20:
                record.line("platform: over the limit on memory, the initiator is killed")
                killed = True
                process.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.01)

    watch = asyncio.create_task(platform_watch())
    for _ in range(CLIENTS if TROUBLE else 0):
        tasks.append(asyncio.create_task(unfinished()))
        await asyncio.sleep(0.0025)
        if killed:
            break
    await asyncio.sleep(1.5)
    watch.cancel()
    record.line(f"most memory {most / 2**20:.1f} MB, limit {MEMORY_MB} MB, killed {killed}")
    print(f"most memory {most / 2**20:.1f} MB, limit {MEMORY_MB} MB, killed {killed}")
    return not killed


if __name__ == "__main__":
    main(FOLDER, case)
