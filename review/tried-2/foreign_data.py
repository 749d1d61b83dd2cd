"""Clients of two units of the second front, of two volumes on one shard, write and read back blocks of their own.
foreign_data.txt beside it says what is seen and why it is no case."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from iscsi import Session  # noqa: E402
from standins import TROUBLE, CouldNotRun, Discovery, Target, configuration, free_address, main, served  # noqa: E402

# The first is the volume of the protocol page's example.
VOLUMES = ["00000003b4d60021", "00000002b4d60021"]
BLOCK, COUNT = 512, 4
WORK_S = 0.02
UNITS = "enabled = true\nlisten = \"LISTEN\"\n" + "".join(f"""[[target]]
name = "iqn.2026-12.example:records-{number}"
[[target.unit]]
lun = 0
volume = "{volume}"
plan = "plus"
read = "read"
write = "write"
shard = 0
blocks = 2097152
block_bytes = {BLOCK}
unit_bytes = 8192
""" for number, volume in enumerate(VOLUMES))


def case(record, platform):
    pieces, lock = {}, threading.Lock()

    def work(request, reply):
        """A target keeps each piece of data as it was written last."""
        time.sleep(WORK_S)
        with lock:
            if request["verb"] == "OBJ.PUT":
                pieces[request["piece"]] = request["body"]
            kept = pieces.get(request["piece"])
        record(f"s-1: {request['verb']} of piece {request['piece']} for volume {request['fields']['volume']}")
        reply(b"-ERR failed\r\n" if kept is None else served(kept))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen, front = free_address(), free_address()
    process = platform.initiator("n1", configuration("n1", listen, discovery.address), iscsi=UNITS.replace("LISTEN", front))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    sessions = [Session(front, f"iqn.2026-12.example:records-{number}", record, number + 1) for number in range(2)]

    def content(unit, block):
        return (b"unit %d block %d " % (unit, block) * BLOCK)[:BLOCK]

    def write(unit, block):
        session = sessions[unit]
        tag = session.command(True, block, 1, BLOCK)
        header, _ = session.receive(5)
        session.data_out(tag, int.from_bytes(header[20:24], "big"), 0, 0, content(unit, block), True)
        header, _ = session.receive(5)
        record(f"client of unit {unit}: wrote block {block}, status {header[3]:#x}")
        if header[3]:
            raise CouldNotRun("a write was not served")

    def read(unit, block):
        session = sessions[unit]
        session.command(False, block, 1, BLOCK)
        header, data = session.receive(5)
        record(f"client of unit {unit}: read block {block}, status {header[3]:#x}: {data[:15]!r}")
        return header[3], data

    for block in range(COUNT):
        write(0, block)
    if TROUBLE:
        for block in range(COUNT):
            write(1, block)
    wrong = []
    for unit in range(2 if TROUBLE else 1):
        for block in range(COUNT):
            status, data = read(unit, block)
            if status == 0 and data != content(unit, block):
                wrong.append((unit, block, data[:15].decode()))
    record(f"{len(wrong)} blocks read with status GOOD hold other data than their client wrote: {wrong}")
    return f"{len(wrong)} blocks were read with the data of another volume" if wrong else None


main(FOLDER, case)
