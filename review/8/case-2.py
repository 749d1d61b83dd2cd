"""An operator drains the initiator while an iSCSI client sends the data of a write that it was asked for."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from iscsi import Session  # noqa: E402
from standins import (TROUBLE, CouldNotRun, Discovery, Ended, Target, call_operator, configuration,  # noqa: E402
                      free_address, main, served)

NAME = "iqn.2026-12.example:records"
BLOCK, BLOCKS = 512, 64
PIECE = 4096
PAUSE_S = 0.12
WORK_S = 0.06
# The class of the unit's writes is waited for this long; half a second later an answer is only worth nothing.
LONGEST_S, LATE_S = 3.0, 0.55
ROUNDS = 3
UNITS = f"""enabled = true
listen = "LISTEN"
[[target]]
name = "{NAME}"
[[target.unit]]
lun = 0
volume = "00000000000000a0"
plan = "plus"
read = "read"
write = "write"
shard = 0
blocks = 2097152
block_bytes = {BLOCK}
unit_bytes = 8192
"""


def write(record, session, block, pause, before_piece=lambda number: None):
    """One write whose data are sent in pieces. Returns its status, or None, and when its last byte was sent."""
    body = os.urandom(BLOCK * BLOCKS)
    tag = session.command(True, block, BLOCKS, len(body))
    header, _ = session.receive(3)
    if header[0] & 0x3f != 0x31:
        raise CouldNotRun(f"no data are asked for, but {header[0]:#x}")
    at, length = int.from_bytes(header[40:44], "big"), int.from_bytes(header[44:48], "big")
    record(f"iSCSI client: write {tag}, is asked for {length} bytes")
    pieces = range(at, at + length, PIECE)
    for number, offset in enumerate(pieces):
        before_piece(number)
        last = number + 1 == len(pieces)
        session.data_out(tag, int.from_bytes(header[20:24], "big"), number, offset, body[offset:offset + PIECE], last)
        if not last:
            time.sleep(pause)
    sent = record.now()
    record(f"iSCSI client: write {tag}, the last byte is sent")
    try:
        header, _ = session.receive(LONGEST_S + LATE_S + 4)
    except socket.timeout:
        return None, sent, "no answer, and the connection stays open"
    except (Ended, ConnectionError):
        return None, sent, "the connection ended without an answer"
    return header[3] if header[0] & 0x3f == 0x21 else None, sent, f"answer {header[0]:#x}, status {header[3]:#x}"


def one_round(record, platform, number):
    def work(request, reply):
        time.sleep(WORK_S)
        reply(served(b"kept"))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen, control, front = free_address(), free_address(), free_address()
    process = platform.initiator(f"n{number}", configuration("n1", listen, discovery.address, control=control),
                                 iscsi=UNITS.replace("LISTEN", front))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    session = Session(front, NAME, record)
    status, _, what = write(record, session, 0, 0)
    record(f"iSCSI client: {what}")
    if status != 0:
        raise CouldNotRun("the first write is not served")

    def drain(piece):
        if piece == 1 and TROUBLE and not call_operator(record, control, "drain").startswith("200"):
            raise CouldNotRun("the drain was refused")

    status, sent, what = write(record, session, 128, PAUSE_S, drain)
    took = record.now() - sent
    record(f"round {number}: {what} after {took:.3f} s")
    process.terminate()
    if status is None:
        return f"a write that was sent whole got no final answer: {what}"
    if took > LONGEST_S + LATE_S:
        return f"a write was answered after {took:.3f} s"
    return None


def case(record, platform):
    found = [one_round(record, platform, number) for number in range(1, ROUNDS + 1)]
    broken = [one for one in found if one]
    return broken[0] if broken else None


main(FOLDER, case)
