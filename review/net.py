"""The network between the processes of the system, and their ways to the store:
each process knows the others by relays, which drop what goes from and to a
process that is cut off."""

import asyncio
import json

from standins import Server


class Relay(asyncio.DatagramProtocol):
    """Where the process OWNER sends what is for the process PEER."""

    def __init__(self, net, owner, peer):
        self.net = net
        self.owner = owner
        self.peer = peer

    def connection_made(self, transport):
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, address):
        self.net.addresses[self.owner] = address
        to = self.net.addresses.get(self.peer)
        if to and not self.net.cut & {self.owner, self.peer}:
            self.net.relays[self.peer, self.owner].transport.sendto(data, to)


class Answer:
    """Holds back what a server writes."""

    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data


class Door(Server):
    """The store as the process NAME reaches it."""

    def __init__(self, net, store, name):
        super().__init__()
        self.net = net
        self.store = store
        self.name = name

    def list_gateways(self):
        entries = []
        for (kind, name), item in sorted(self.store.objects.items()):
            relay = self.net.relays.get((self.name, name))
            if kind == "gateways" and relay:
                item = {**item, "Spec": {"address": "127.0.0.1",
                                         "port": relay.port}}
            if kind == "gateways":
                entries.append(item)
        return self.store.answer(200, json.dumps({
            "Entries": entries, "HasMore": False,
            "At": self.store.revision}).encode())

    async def handle(self, request, writer):
        held = Answer()
        if request.method == "GET" \
                and request.path.startswith("/objects/gateways"):
            held.write(self.list_gateways())
        else:
            await self.store.handle(request, held)
        if self.name in self.net.cut:
            await asyncio.sleep(3600)
        writer.write(held.data)
        return True


class Net:
    def __init__(self, store):
        self.store = store
        self.relays = {}
        self.addresses = {}  # by process
        self.doors = {}
        self.cut = set()  # processes

    async def add_relay(self, owner, peer):
        _, relay = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Relay(self, owner, peer), local_addr=("127.0.0.1", 0))
        self.relays[owner, peer] = relay

    async def join(self, name, gateways):
        """Lets NAME reach the store and GATEWAYS; returns the store's URL."""
        for gateway in gateways:
            if gateway != name:
                for pair in ((name, gateway), (gateway, name)):
                    if pair not in self.relays:
                        await self.add_relay(*pair)
        door = self.doors[name] = await Door(self, self.store, name).start()
        return f"http://127.0.0.1:{door.port}"
