"""Fault injection: a TCP proxy and control of the instances' processes."""

import asyncio
import os
import pathlib
import signal
import socket
import struct
import subprocess
import time

# From linux/netlink.h, sock_diag.h and inet_diag.h.
SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
INODE_OFFSET = 84
SETTINGS = """node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [7720,7735]
first_start = true
heartbeat_ms = 1200
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
[limits]
cpu_share = 0.25
memory_mb = 260
[bounds]
grace_s = 8
lease_ms = 3000
[platform]
address = "{store}"
writes_per_s = {writes}
reads_per_s = 2000
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Proxy:
    """Forwards TCP connections to `target`. `mode` is one of pass, delay,
    reset, silent (forwards nothing), or one_way (forwards requests but not
    their responses)."""

    def __init__(self, target):
        self.target, self.mode = target, "pass"
        self.writers = set()

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer, True),
                             self.pump(target_reader, writer, False))
        self.writers -= {writer, target_writer}

    async def pump(self, reader, writer, is_request):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                while self.mode == "silent" or (
                        self.mode == "one_way" and not is_request):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()


def socket_inode(local, remote):
    """The inode of the TCP socket from `local` to `remote`, 0 if there is none.
    Asks the kernel for this socket alone: /proc/net/tcp lists those of the
    whole machine."""
    ends = struct.pack(">HH", local[1], remote[1]) + b"".join(
        socket.inet_aton(ip).ljust(16, b"\0") for ip in (local[0], remote[0]))
    request = struct.pack("BBxxI", socket.AF_INET, socket.IPPROTO_TCP,
                          0xffffffff) + ends + struct.pack("I", 0) + b"\xff" * 8
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM,
                       SOCK_DIAG) as kernel:
        kernel.send(struct.pack("IHHII", 16 + len(request), SOCK_DIAG_BY_FAMILY,
                                NLM_F_REQUEST, 1, 0) + request)
        answer = kernel.recv(4096)
    if struct.unpack_from("H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("I", answer, INODE_OFFSET)[0]


class Network:
    """Forwards TCP connections to one upstream. For the nodes in `cut`, which
    is shared by all upstreams, by how they are cut off: hang (new connections
    and bytes stay unanswered), reset, or refuse (new connections are closed at
    once and open ones live on). Connections belong to the node whose process
    opened them, so that other nodes' tunnels still pass."""

    def __init__(self, target, nodes, cut):
        self.target, self.nodes, self.cut = target, nodes, cut
        self.open = set()

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def find_owner(self, reader, writer):
        """The node that opened a connection; None if it isn't known or has
        closed it. Looks several times: a process that starts may not be in
        `nodes` yet."""
        for _ in range(20):
            if reader.at_eof():
                return None
            if node := await asyncio.to_thread(self.owner, writer):
                return node
            await asyncio.sleep(0.01)
        return None

    def owner(self, writer):
        ends = [writer.get_extra_info(name)
                for name in ("peername", "sockname")]
        inode = socket_inode(*ends) if all(ends) else 0
        if not inode:
            return None
        for node in self.nodes:
            folder = f"/proc/{node.process.pid}/fd"
            try:
                links = [os.readlink(f"{folder}/{fd}")
                         for fd in os.listdir(folder)]
            except OSError:
                continue
            if f"socket:[{inode}]" in links:
                return node
        return None

    def how(self, node):
        return self.cut.get(node.name) if node else None

    def apply(self):
        """Makes a change of `cut` effective for open connections."""
        for connection in list(self.open):
            if self.how(connection[0]) == "reset":
                for writer in connection[1:]:
                    writer.transport.abort()

    async def serve(self, reader, writer):
        node = await self.find_owner(reader, writer)
        while self.how(node) == "hang":
            await asyncio.sleep(0.05)
        if self.how(node) in ("reset", "refuse"):
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = (node, writer, target_writer)
        self.open.add(connection)
        await asyncio.gather(
            self.pump(node, reader, writer, target_writer),
            self.pump(node, target_reader, target_writer, writer))
        self.open.discard(connection)

    async def pump(self, node, reader, source, sink):
        try:
            while data := await reader.read(65536):
                while self.how(node) == "hang":
                    await asyncio.sleep(0.05)
                if self.how(node) == "reset":
                    # Opened while the cut began.
                    source.transport.abort()
                    raise ConnectionResetError
                sink.write(data)
                await sink.drain()
            sink.close()
        except (ConnectionError, OSError):
            # An answer that was reset must not look complete.
            sink.transport.abort()


class Node:
    """Runs one instance as a process; `supervise` restarts it if it exits."""

    def __init__(self, program, folder, name, ip, zone, proxy):
        self.program, self.name, self.ip, self.zone = program, name, ip, zone
        self.proxy, self.folder = proxy, pathlib.Path(folder)
        self.process = None
        self.starts = 0
        self.started_at = 0.0
        self.writes = 400

    def write_settings(self):
        path = self.folder / (self.name + ".toml")
        path.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone,
            store=self.proxy.address, writes=self.writes))
        return path

    def start(self):
        self.starts += 1
        self.started_at = time.monotonic()
        log = open(self.folder / (self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [self.program, "entry"], stdout=log, stderr=log,
            env={**os.environ, "SAVORYDOCK_SETTINGS":
                 str(self.write_settings())})
        log.close()

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def reload(self):
        self.writes += 1
        self.write_settings()
        self.send(signal.SIGHUP)

    def supervise(self):
        """Restarts the process if it has exited. Returns the exit code unless
        the process ended normally or by SIGKILL."""
        code = self.process.poll()
        if code is None:
            return None
        self.start()
        return code if code not in (0, -signal.SIGKILL) else None

    def state(self):
        """The process state as in /proc/PID/stat: S is sleeping, T stopped."""
        try:
            stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return "gone"
        return stat.rpartition(")")[2].split()[0]

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
