"""One stream between a proxy and a controller, at either end, as state machines without I/O.

The controller's end: bytes in, messages out, in the order hello, then answers and sums. What is malformed,
oversized, out of order or unknown raises Refused once; the session is then over and takes nothing more.
"""

from collections import deque

import msgspec

from embertray.common.framing import BadFrame, Splitter, frame

from .messages import (
    VERSION,
    Acknowledgement,
    Fault,
    Hello,
    LoadReport,
    Orders,
    Welcome,
    encode,
    read_from_proxy,
    read_to_proxy,
)


class ProtocolError(ValueError):
    """The peer broke the protocol. `code`: malformed | oversized | empty | cut | version | order."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code

    def fault(self):
        """The bytes of the one clear error that the peer gets."""
        return frame(encode(Fault(self.code, str(self)[:500])))


class Session:
    """What both ends share: frames to messages, refused once."""

    def __init__(self, read):
        self.read, self.splitter, self.over = read, Splitter(), False

    def receive(self, data):
        """Messages that `data` completes, checked for their order. b"" is the stream's end."""
        if self.over:
            raise ProtocolError("order", "bytes after the end of the session")
        try:
            if not data:
                self.over = True
                self.splitter.end()
                return []
            found = [self.read(payload) for payload in self.splitter.feed(data)]
        except BadFrame as wrong:
            self.refuse(wrong.code, str(wrong))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
            self.refuse("malformed", str(wrong))
        for message in found:
            self.check(message)
        return found

    def refuse(self, code, text):
        self.over = True
        raise ProtocolError(code, text) from None


class ControllerSession(Session):
    """Knows the proxy's name from its hello on, and which nonces are open on this stream."""

    def __init__(self, zones=None):
        """`zones`: names that a hello may give; None: any."""
        super().__init__(read_from_proxy)
        self.hello, self.open, self.zones = None, deque(), zones

    def check(self, message):
        if isinstance(message, Hello):
            if self.hello:
                self.refuse("order", f"a second hello from proxy {self.hello.proxy}")
            if message.version != VERSION:
                self.refuse("version", f"version {message.version} is not spoken here, only {VERSION}")
            if self.zones is not None and message.zone not in self.zones:
                self.refuse("zone", f"zone '{message.zone}' of proxy {message.proxy} is not in the site")
            self.hello = message
        elif not self.hello:
            self.refuse("order", f"{message.__struct_config__.tag} before the hello")
        elif isinstance(message, Acknowledgement):
            if message.nonce not in self.open:
                self.refuse("order", f"an answer to nonce {message.nonce}, which is not open here")
            while self.open.popleft() != message.nonce:  # the channel keeps order
                pass
        elif isinstance(message, LoadReport):
            for met in message.met:
                if met.failed > met.tries:
                    self.refuse("malformed", f"{met.failed} of {met.tries} tries failed at {met.backend}")

    def welcome(self, controller, kinds):
        return frame(encode(Welcome(VERSION, controller, kinds)))

    def sent(self, nonce):
        """A message with this nonce goes out on this stream: from now on it may be answered."""
        if nonce is not None:
            self.open.append(nonce)


class ProxySession(Session):
    """The proxy's side: welcome first, then orders; a fault may come at any time and is the last."""

    def __init__(self, proxy, zone, rate, fresh):
        super().__init__(read_to_proxy)
        self.hello, self.welcomed = Hello(VERSION, proxy, zone, rate, fresh), None

    def start(self):
        return frame(encode(self.hello))

    def check(self, message):
        if isinstance(message, Welcome):
            if self.welcomed:
                self.refuse("order", "a second welcome")
            self.welcomed = message
        elif isinstance(message, Orders) and not self.welcomed:
            self.refuse("order", "orders before the welcome")
        elif isinstance(message, Fault):
            self.over = True

    @staticmethod
    def pack(message):
        return frame(encode(message))
