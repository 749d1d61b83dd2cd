"""A client of an iSCSI-style target (RFC 7143): one session, one connection, no digests, no immediate data."""

import socket
import struct

from standins import Ended, pair

FINAL = 0x80


def padded(count):
    return (count + 3) // 4 * 4


def pdu(opcode, flags, tag, data=b"", lun=0, fields=()):
    header = bytearray(48)
    header[0], header[1] = opcode, flags
    header[5:8] = struct.pack(">I", len(data))[1:]
    header[9] = lun
    header[16:20] = struct.pack(">I", tag)
    for offset, value in fields:
        header[offset:offset + 4] = struct.pack(">I", value)
    return header, data


def encode(header, data):
    return bytes(header) + data + b"\0" * (padded(len(data)) - len(data))


class Session:
    def __init__(self, address, target, record, number=1):
        self.record = record
        self.sock = socket.create_connection(pair(address), 2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.sn, self.stat_sn, self.tag = 1, 0, 100
        keys = [f"InitiatorName=iqn.2026-12.example:town-{number}", "SessionType=Normal", "TargetName=" + target,
                "HeaderDigest=None", "DataDigest=None", "InitialR2T=Yes", "ImmediateData=No",
                "MaxRecvDataSegmentLength=65536", "MaxBurstLength=262144", "FirstBurstLength=65536",
                "MaxConnections=1", "MaxOutstandingR2T=1", "ErrorRecoveryLevel=0"]
        header, data = pdu(0x43, FINAL | 1 << 2 | 3, 1, "".join(key + "\0" for key in keys).encode(),
                           fields=[(24, self.sn)])
        header[8:14] = bytes([0x80, 0, 1, 0, number >> 8, number & 0xff])
        self.sock.sendall(encode(header, data))
        answer, _ = self.receive(3)
        if answer[0] & 0x3f != 0x23 or answer[36] != 0 or answer[1] & 3 != 3:
            raise OSError("the login was refused")

    def receive(self, seconds):
        self.sock.settimeout(seconds)
        while True:
            if len(self.buffer) >= 48:
                length = int.from_bytes(self.buffer[5:8], "big")
                end = 48 + 4 * self.buffer[4] + padded(length)
                if len(self.buffer) >= end:
                    header, data = self.buffer[:48], self.buffer[48 + 4 * self.buffer[4]:][:length]
                    self.buffer = self.buffer[end:]
                    if header[0] & 0x3f != 0x31:
                        self.stat_sn = int.from_bytes(header[24:28], "big") + 1
                    return header, data
            got = self.sock.recv(65536)
            if not got:
                raise Ended()
            self.buffer += got

    def command(self, write, block, blocks, length):
        """Sends a READ(16) or WRITE(16), and returns its tag."""
        self.tag += 1
        header, data = pdu(0x01, FINAL | (0x20 if write else 0x40) | 1, self.tag,
                           fields=[(20, length), (24, self.sn), (28, self.stat_sn)])
        header[32] = 0x8a if write else 0x88
        header[34:42] = struct.pack(">Q", block)
        header[42:46] = struct.pack(">I", blocks)
        self.sock.sendall(encode(header, data))
        self.sn += 1
        return self.tag

    def data_out(self, tag, transfer_tag, number, offset, piece, last):
        header, data = pdu(0x05, FINAL if last else 0, tag, piece,
                           fields=[(20, transfer_tag), (28, self.stat_sn), (36, number), (40, offset)])
        self.sock.sendall(encode(header, data))
