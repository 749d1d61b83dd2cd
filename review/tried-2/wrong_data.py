"""A unit of the second front whose shard is held by a RESP2 target: each transfer is one piece of data, named by the volume
and the first block. The target keeps pieces as examples/toy.rs does, and one that was never written is `-ERR failed`.

PART=overlap: blocks 8 to 15 are written, then 0 to 15, then 8 to 15 are read. PART=units: the volumes of two units of 4 TiB
follow each other; block 0 of the second is written, then block 2^32 of the first, then block 0 of the second is read.
Exits with 1 if the read has status GOOD and other data than were written there last. With TROUBLE=0 the extents are the
same, and the first unit's block lies below 2 TiB."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from iscsi import Session  # noqa: E402
from standins import TROUBLE, CouldNotRun, Discovery, Target, configuration, free_address, main, served  # noqa: E402

PART = os.environ.get("PART", "overlap")
BLOCK = 512
UNITS = "enabled = true\nlisten = \"LISTEN\"\n" + "".join(f"""[[target]]
name = "iqn.2026-12.example:records-{number}"
[[target.unit]]
lun = 0
volume = "00000000000000a{number}"
plan = "plus"
read = "read"
write = "write"
shard = 0
blocks = 8589934592
block_bytes = {BLOCK}
unit_bytes = 8192
""" for number in range(2))


def case(record, platform):
    pieces, lock = {}, threading.Lock()

    def work(request, reply):
        time.sleep(0.02)
        with lock:
            if request["verb"] == "OBJ.PUT":
                pieces[request["piece"]] = request["body"]
            kept = pieces.get(request["piece"])
        record(f"s-1: {request['verb']} of piece {request['piece']}")
        reply(b"-ERR failed\r\n" if kept is None else served(kept))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen, front = free_address(), free_address()
    process = platform.initiator("n1", configuration("n1", listen, discovery.address), iscsi=UNITS.replace("LISTEN", front))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    sessions = [Session(front, f"iqn.2026-12.example:records-{number}", record, number + 1) for number in range(2)]

    def write(unit, block, blocks, letter):
        session, body = sessions[unit], letter * (blocks * BLOCK)
        tag = session.command(True, block, blocks, len(body))
        header, _ = session.receive(3)
        session.data_out(tag, int.from_bytes(header[20:24], "big"), 0, 0, body, True)
        header, _ = session.receive(5)
        record(f"client of unit {unit}: wrote {blocks} blocks of {letter} at {block}, status {header[3]:#x}")
        if header[3]:
            raise CouldNotRun("a write failed")

    def read(unit, block, blocks):
        session = sessions[unit]
        session.command(False, block, blocks, blocks * BLOCK)
        header, data = session.receive(5)
        record(f"client of unit {unit}: read {blocks} blocks at {block}, status {header[3]:#x}, begins with {data[:4]!r}")
        return header[3], data

    if PART == "units":
        write(1, 0, 1, b"A")
        write(0, 2**32 if TROUBLE else 2**20, 1, b"B")
        status, data = read(1, 0, 1)
        return "the data of another unit" if status == 0 and data != b"A" * BLOCK else None
    write(0, 8, 8, b"A")
    write(0, 0 if TROUBLE else 8, 16 if TROUBLE else 8, b"B")
    status, data = read(0, 8, 8)
    return "data older than what was written last" if status == 0 and data != b"B" * (8 * BLOCK) else None


main(FOLDER, case)
