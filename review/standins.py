"""Stand-ins for the review's tests: the platform, discovery, storage nodes and clients.

They follow the protocol, deployment and wire pages. Loopback addresses, free ports, the real clock, and nothing beyond
the Python standard library.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return value.strip().strip('"')
    raise SystemExit(2)


def montevideo(initiators=1):
    """Settings of the site montevideo-central, drawn from its ranges."""
    return {
        "siblings": initiators, "tick_ms": 2.0, "discovery": "on_request", "zones": ["mvd-1"], "zone": 0,
        "kind_of_service": "stores", "weights": "nominal",
        "classes": [
            {"name": "read", "aim_ms": 400.0, "hard_limit_ms": 2500.0, "worth": 2.0, "late_worth": 0.1,
             "effect": "read_like", "key_scope": "all", "window_ms": 5000.0, "stream": False},
            {"name": "upload", "aim_ms": 600.0, "hard_limit_ms": 5000.0, "worth": 2.0, "late_worth": 0.2,
             "effect": "non_idempotent", "key_scope": "all", "window_ms": 5000.0, "stream": False}],
        "service_levels": [
            {"name": "basic", "base_rate": 2.0, "guaranteed": 0.6, "parts": 1.0, "value_factor": 0.8,
             "ceiling_rate": 0.0, "limit_burst": 0.0, "tolerance": 0.0},
            {"name": "standard", "base_rate": 3.0, "guaranteed": 3.6, "parts": 3.0, "value_factor": 1.0,
             "ceiling_rate": 0.0, "limit_burst": 0.0, "tolerance": 0.0},
            {"name": "priority", "base_rate": 6.0, "guaranteed": 7.2, "parts": 3.0, "value_factor": 1.5,
             "ceiling_rate": 0.0, "limit_burst": 0.0, "tolerance": 0.0}],
        "domain": {"largest": 8, "unit_mean": 2.0, "share_worth": 0.3, "idle_worth": 0.08, "young_limit": 34.0,
                   "slots_total": 4, "class_writes": [False, True], "metering_ms": 0.0, "tells_elsewhere": False},
        "contract": {"grace_to_answer_ms": 8.0, "drain_grace_ms": 500.0, "cold_from": 0.18,
                     "warm_after_ms": 15000.0, "tip_multiple": 3.0, "fall_ms": 1000.0, "ask_within_ms": 10000.0},
        "limits": {"attempts_cap": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 30000.0,
                   "max_retry_after_ms": 2000.0, "retry_after": False, "may_cancel": True, "multiplex": 32,
                   "peers": False, "probes": True, "second_copies": True},
    }


def palermo(initiators=1):
    """Settings of the site palermo-centro, as in the wire page's example."""
    return {
        "siblings": initiators, "tick_ms": 2.0, "discovery": "pushed", "zones": ["sala-palermo"], "zone": 0,
        "kind_of_service": "stores", "weights": "off",
        "classes": [
            {"name": "lettura-stato", "aim_ms": 400.0, "hard_limit_ms": 2000.0, "worth": 2.0, "late_worth": 0.2,
             "effect": "read_like", "key_scope": "all", "window_ms": 5000.0, "stream": False},
            {"name": "nuovo-evento", "aim_ms": 600.0, "hard_limit_ms": 3000.0, "worth": 3.0, "late_worth": 0.1,
             "effect": "idempotency_key", "key_scope": "cell", "window_ms": 5000.0, "stream": False},
            {"name": "estrazione", "aim_ms": 2000.0, "hard_limit_ms": 6000.0, "worth": 1.0, "late_worth": 0.3,
             "effect": "read_like", "key_scope": "all", "window_ms": 5000.0, "stream": False}],
        "service_levels": [
            {"name": "base", "base_rate": 4.7, "guaranteed": 1.4, "parts": 1.0, "value_factor": 0.72,
             "ceiling_rate": 19.0, "limit_burst": 48.0, "tolerance": 8.0},
            {"name": "comune-plus", "base_rate": 7.1, "guaranteed": 7.1, "parts": 1.0, "value_factor": 0.9,
             "ceiling_rate": 0.0, "limit_burst": 0.0, "tolerance": 0.0}],
        "domain": {"largest": 8, "unit_mean": 1.99, "share_worth": 0.35, "idle_worth": 0.05, "young_limit": 34.0,
                   "slots_total": 4, "class_writes": [False, True, False], "metering_ms": 0.0,
                   "tells_elsewhere": True},
        "contract": {"grace_to_answer_ms": 8.0, "drain_grace_ms": 2000.0, "cold_from": 0.16,
                     "warm_after_ms": 18000.0, "tip_multiple": 3.0, "fall_ms": 3000.0, "ask_within_ms": 10000.0},
        "limits": {"attempts_cap": 4, "connect_timeout_ms": 250.0, "conn_idle_ms": 30000.0,
                   "max_retry_after_ms": 500.0, "retry_after": True, "may_cancel": True, "multiplex": 32,
                   "peers": False, "probes": True, "second_copies": True},
    }


class Platform:
    """Starts initiators by the deploy file, each in a machine of its own, and ends all of them."""

    def __init__(self, record):
        self.record, self.processes = record, []
        self.folder = tempfile.mkdtemp(prefix="review-")

    def start(self, name, settings, discovery, memory_mb=192, sockets=1024, cores=1.0, listen=None, control=None,
              tmpdir=None, env=None, known=None):
        listen = listen or f"{HOST}:{free_port()}"
        home = tempfile.mkdtemp(prefix=f"{name}-", dir=self.folder)
        tmpdir = tmpdir or os.path.join(home, "tmp")
        os.makedirs(tmpdir, exist_ok=True)
        config = {"name": name, "listen": listen, "discovery": discovery, "seed": os.urandom(8).hex(),
                  "limits": {"cores": cores, "memory_mb": memory_mb, "sockets": sockets},
                  "known": known, "settings": settings}
        if control:
            config["control"] = control
        path = os.path.join(home, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        variables = dict(os.environ, NODE_NAME=name, NODE_LISTEN=listen, NODE_DISCOVERY=discovery, NODE_CONFIG=path,
                         TMPDIR=tmpdir, **(env or {}))
        log = open(os.path.join(home, "log"), "wb")
        pid = os.posix_spawn("/bin/sh", ["sh", "-c", f"cd '{ROOT}' && {run_command()}"], variables,
                             file_actions=[(os.POSIX_SPAWN_DUP2, log.fileno(), 1),
                                           (os.POSIX_SPAWN_DUP2, log.fileno(), 2)])
        process = Process(self, name, pid, listen, path, log.name, control, tmpdir)
        self.processes.append(process)
        self.record.line(f"platform: {name} started, process {pid}, clients at {listen}")
        return process

    def end(self):
        for process in self.processes:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Process:
    """A started initiator."""

    def __init__(self, platform, name, pid, listen, config, log, control, tmpdir):
        self.platform, self.name, self.pid, self.listen = platform, name, pid, listen
        self.config, self.log, self.control, self.tmpdir = config, log, control, tmpdir
        self.status = None

    def address(self):
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def ended(self):
        """How the process ended, or None while it runs."""
        if self.status is None:
            pid, status = os.waitpid(self.pid, os.WNOHANG)
            if pid:
                self.status = os.waitstatus_to_exitcode(status)
                self.platform.record.line(f"platform: {self.name}, process {self.pid}, ended with {self.status}")
        return self.status

    def signal(self, number):
        if self.ended() is None:
            self.platform.record.line(f"platform: {signal.Signals(number).name} to {self.name}, process {self.pid}")
            os.kill(self.pid, number)

    def kill(self):
        if self.ended() is None:
            os.kill(self.pid, signal.SIGKILL)
            _, status = os.waitpid(self.pid, 0)
            self.status = os.waitstatus_to_exitcode(status)

    def log_text(self):
        with open(self.log, errors="replace") as file:
            return file.read()

    def resident_bytes(self, field="VmRSS"):
        with open(f"/proc/{self.pid}/status") as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024
        return 0

    async def ready(self, limit=30.0):
        """Waits until the initiator answers PING with +PONG."""
        end = time.monotonic() + limit
        while time.monotonic() < end and self.ended() is None:
            try:
                reader, writer = await asyncio.open_connection(*self.address())
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"+PONG\r\n":
                    self.platform.record.line(f"platform: {self.name} says +PONG")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        return False


class Discovery:
    """Discovery, or the agent of one initiator: the whole list, and watches."""

    def __init__(self, record, name="discovery"):
        self.record, self.name = record, name
        self.index, self.entries, self.changes = 40, {}, []
        self.changed = asyncio.Condition()
        self.port, self.server = None, None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def address(self):
        return f"{HOST}:{self.port}"

    async def tell(self, **entry):
        """Adds or changes an entry. Status `left` removes it."""
        async with self.changed:
            self.index += 1
            whole = dict(self.entries.get(entry["name"], {}), **entry)
            self.changes.append((self.index, whole))
            if whole["status"] == "left":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = whole
            self.record.line(f"{self.name}: index {self.index}: {whole['name']} {whole['status']}"
                             f" since_ms {whole['since_ms']}")
            self.changed.notify_all()

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split()[1].decode()
                path, _, query = target.partition("?")
                values = dict(pair.split("=") for pair in query.split("&") if pair)
                if path != "/registry/instances":
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                body = self.whole()
                if "after" in values:
                    after, wait = int(values["after"]), int(values.get("wait_ms", 0)) / 1000
                    async with self.changed:
                        try:
                            await asyncio.wait_for(self.changed.wait_for(lambda: self.index > after), wait)
                        except asyncio.TimeoutError:
                            pass
                        latest = {}
                        for index, entry in self.changes:
                            if index > after:
                                latest[entry["name"]] = entry
                        body = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(text)).encode() + b"\r\n\r\n" + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def command(*words):
    """A command in RESP2."""
    parts = [f"*{len(words)}\r\n".encode()]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


async def read_command(reader):
    """The next command, as a list of words."""
    line = await reader.readuntil(b"\r\n")
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_answer(reader):
    """The next whole answer to a client: its kind and text."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        length = int(line[1:])
        value = (await reader.readexactly(length + 2))[:-2]
        return "served", value
    if line.startswith(b"-BUSY"):
        return "refused", line[:-2]
    return "failed", line[:-2]


def value_of(piece, request):
    """The value that a node makes for a request: it names the piece and the request."""
    return b"value of " + piece + b" for " + request


class Node:
    """A storage node. `behave` may be replaced; it returns the bytes of the answer, or None for no answer."""

    def __init__(self, record, name, group, zone, work=0.04):
        self.record, self.name, self.group, self.zone, self.work = record, name, group, zone, work
        self.server, self.port, self.held = None, None, []
        self.ran = {}
        self.begun = {}
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=8 * 1024 * 1024, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, status="active", since_ms=0):
        return {"name": self.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "type": "m2",
                "group": self.group, "status": status, "weight": 1.0, "since_ms": since_ms}

    def vanish(self):
        """The machine is gone: open connections stay silent, and new ones never come up."""
        self.record.line(f"{self.name}: vanishes")
        self.server.close()
        for writer in list(self.connections):
            writer.transport.pause_reading()
        # A listener whose queue is full leaves further handshakes without an answer.
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind((HOST, self.port))
        silent.listen(0)
        self.held.append(silent)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.held.append(filler)

    async def come_back(self):
        """The machine is back: what was open is reset, and new connections come up."""
        for held in self.held:
            held.close()
        self.held = []
        for writer in list(self.connections):
            writer.transport.abort()
        await self.start(self.port)
        self.record.line(f"{self.name}: is back")

    async def behave(self, words, begun):
        await asyncio.sleep(self.work)
        value = value_of(words[1], words[2])
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                words = await read_command(reader)
                name = words[0].upper()
                if name not in (b"OBJ.GET", b"OBJ.PUT"):
                    writer.write({b"PING": b"+PONG\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}.get(
                        name, b"-NOPERM\r\n" if name == b"INFO" else b"-ERR\r\n"))
                    continue
                request = words[2].decode()
                begun = self.record.now()
                self.begun.setdefault(request, []).append(begun)
                self.record.line(f"{self.name}: {name.decode()} {request} begins")
                answer = await self.behave(words, begun)
                if answer is None:
                    await asyncio.sleep(3600)
                self.ran.setdefault(request, []).append(self.record.now())
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def main(folder, case):
    """Runs a case: a coroutine function of (record, platform) that returns True if the rule held."""
    record = Record(folder)
    platform = Platform(record)

    async def limited():
        return await asyncio.wait_for(case(record, platform), 110)

    def told_to_end(*_):
        platform.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, told_to_end)
    signal.signal(signal.SIGINT, told_to_end)
    code = 2
    try:
        held = asyncio.run(limited())
        code = 0 if held else 1
    except Exception as error:  # the case could not run
        record.line(f"the case could not run: {error!r}")
        import traceback
        traceback.print_exc()
    finally:
        platform.end()
    record.line({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[code])
    try:
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code], flush=True)
    except OSError:
        pass
    os._exit(code)
