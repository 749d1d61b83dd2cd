"""A new version takes over while an iSCSI client has a write and a read behind it open. The old process has no way to
hand the session on, and reads no further PDU of it while a task is open.

PART=write: the data of a write that the client was asked for before. PART=read: a second read, sent 20 ms after the
first. Exits with 1 if a command that was sent whole got no status within the longest deadline of its class and half a
second, or the connection ended over it."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from iscsi import Session  # noqa: E402
from standins import TROUBLE, Discovery, Ended, Target, configuration, free_address, main, served  # noqa: E402

PART = os.environ.get("PART", "write")
NAME = "iqn.2026-12.example:records"
BLOCK, BLOCKS, PIECE = 512, 64, 4096
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


def case(record, platform):
    def work(request, reply):
        time.sleep(0.06)
        reply(served(b"d" * 8192))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen, front = free_address(), free_address()

    def start(name):
        control = free_address()
        process = platform.initiator(name, configuration("n1", listen, discovery.address, control=control), folder="tmp",
                                     iscsi=UNITS.replace("LISTEN", front))
        platform.wait_operator_yes(process, control)
        record(f"platform: {name} says yes")
        return process

    old = start("old")
    time.sleep(0.5)
    session = Session(front, NAME, record)

    def upgrade():
        start("new")
        old.send_signal(signal.SIGTERM)
        record("platform: SIGTERM to the old process")
        time.sleep(3.7)
        if old.poll() is None:
            old.kill()
            record("platform: SIGKILL to the old process")

    thread = threading.Thread(target=upgrade, daemon=True)

    def status(longest):
        try:
            while True:
                header, _ = session.receive(longest + 0.55 + 4)
                if header[0] & 0x3f == 0x21 or (header[0] & 0x3f == 0x25 and header[1] & 1):
                    return header[3]
        except socket.timeout:
            return "nothing, and the connection stays open"
        except (Ended, ConnectionError) as why:
            return f"the end of the connection: {why!r}"

    if PART == "read":
        if TROUBLE:
            thread.start()
            time.sleep(0.5)
        first = session.command(False, 32, 16, 8192)
        time.sleep(0.02)
        second = session.command(False, 64, 16, 8192)
        sent, longest = record.now(), 2.0
        record(f"iSCSI client: sent reads {first} and {second}")
        got = [status(longest), status(longest)]
    else:
        body = os.urandom(BLOCK * BLOCKS)
        tag = session.command(True, 128, BLOCKS, len(body))
        header, _ = session.receive(3)
        at, length = int.from_bytes(header[40:44], "big"), int.from_bytes(header[44:48], "big")
        record(f"iSCSI client: write {tag} is asked for {length} bytes")
        pieces = range(at, at + length, PIECE)
        for number, offset in enumerate(pieces):
            if number == 1 and TROUBLE:
                thread.start()
            session.data_out(tag, int.from_bytes(header[20:24], "big"), number, offset, body[offset:offset + PIECE],
                             number + 1 == len(pieces))
            time.sleep(0.12)
        sent, longest = record.now(), 3.0
        record("iSCSI client: the last byte is sent")
        got = [status(longest)]
    took = record.now() - sent
    record(f"iSCSI client: got {got} after {took:.3f} s")
    if any(isinstance(one, str) for one in got):
        return f"a command that was sent whole got {got[-1]} after {took:.3f} s"
    return f"status {got[-1]:#x} after {took:.3f} s" if took > longest + 0.55 else None


main(FOLDER, case)
