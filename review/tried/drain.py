"""Tried beside the cases: a drained initiator reads commands and ends their connection without an answer.

A client sends many commands at once, 0.25 s after the call `drain`, on the connection that it uses. Exit: 0 all are
answered, 1 some are not although nothing of them is unread, 2 it could not run. TROUBLE=0: no call.
"""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

COMMANDS = 150


def read_command_text(request):
    return command("OBJ.GET", f"{random.getrandbits(64):016x}", request,
                   f"c=lettura-stato,t=comune-plus,d=2000,volume={0x100 + random.randrange(40):016x},units=1,"
                   f"shard={random.randrange(4)},hosts=1")


async def door(process, call):
    host, _, port = process.control.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(call.encode() + b"\n")
    line = (await asyncio.wait_for(reader.readline(), 5)).decode().strip()
    writer.close()
    process.platform.record.line(f"operator: {call}: {line}")


def unread_bytes(process, port):
    with open("/proc/net/tcp") as table:
        for row in table.read().splitlines()[1:]:
            fields = row.split()
            local, remote = (int(fields[at].split(":")[1], 16) for at in (1, 2))
            if (local, remote) == (process.address()[1], port):
                return int(fields[4].split(":")[1], 16)
    return None


async def case(record, platform):
    agent = await Discovery(record, "agent").start()
    nodes = [await Node(record, f"s-{number}", number, "sala-palermo", work=0.03).start() for number in range(4)]
    for node in nodes:
        await agent.tell(**node.entry())
    process = platform.start("n1", palermo(), agent.address(), control=f"{HOST}:{free_port()}")
    if not await process.ready():
        raise RuntimeError("the initiator is not ready")
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(*process.address())
    port = writer.get_extra_info("sockname")[1]
    writer.write(read_command_text(f"{random.getrandbits(64):016x}"))
    await read_answer(reader)
    if TROUBLE:
        await door(process, "drain")
    await asyncio.sleep(0.25)
    requests = [f"{random.getrandbits(64):016x}" for _ in range(COMMANDS)]
    writer.write(b"".join(map(read_command_text, requests)))
    await writer.drain()
    written, answered, unread = record.now(), 0, None
    try:
        for request in requests:
            kind, text = await asyncio.wait_for(read_answer(reader), 6)
            answered, unread = answered + 1, unread_bytes(process, port)
            record.line(f"client: {request} {kind} {text!r}; unread at the initiator's machine: {unread} bytes")
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError) as error:
        record.line(f"client: {error!r} {record.now() - written:.3f} s after the last command was written")
    for request in requests[answered:]:
        record.line(f"no answer: {request}")
    record.line(f"commands {COMMANDS}, answered {answered}, unread when the last answer came: {unread} bytes")
    print(f"commands {COMMANDS}, answered {answered}, unread when the last answer came: {unread} bytes")
    return answered == COMMANDS


if __name__ == "__main__":
    main(FOLDER, case)
