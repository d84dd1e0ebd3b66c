"""One stream between a proxy and a controller, at either end, as state machines without I/O.

The controller's end: bytes in, messages out, in the order hello, then acknowledgements and load reports. What
is malformed, oversized, out of order or unknown raises `ProtocolError` once; the session is then over and
takes nothing more.
"""

from collections import deque

import msgspec

from embertray.common.framing import FrameDecoder, FrameError, encode_frame

from .exceptions import ProtocolError
from .messages import (
    VERSION,
    Acknowledgement,
    Fault,
    Hello,
    LoadReport,
    Orders,
    Welcome,
    decode_from_proxy,
    decode_to_proxy,
    encode,
)


class Session:
    """What both ends share: frames become messages; the first error ends the session.

    Args:
        decode: bytes of one frame -> message; raises msgspec.DecodeError.
    """

    def __init__(self, decode):
        self.decode = decode
        self.decoder = FrameDecoder()
        self.ended = False

    def receive(self, data):
        """Takes bytes of the stream.

        Args:
            data: the next bytes; b"" is the stream's end.

        Returns:
            The messages that `data` completes, checked for their order.

        Raises:
            ProtocolError: the peer broke the protocol, or bytes came after the end of the session.
        """
        if self.ended:
            raise ProtocolError("order", "bytes after the end of the session")
        messages = self._decode_messages(data)
        for message in messages:
            self.check(message)
        return messages

    def _decode_messages(self, data):
        try:
            if not data:
                self.ended = True
                self.decoder.end()
                return []
            return [self.decode(payload) for payload in self.decoder.feed(data)]
        except FrameError as error:
            self.reject(error.code, str(error))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.reject("malformed", str(error))

    def check(self, message):
        """Checks a message against what came before it. Raises ProtocolError."""
        raise NotImplementedError

    def reject(self, code, text):
        """Ends the session. Raises ProtocolError."""
        self.ended = True
        raise ProtocolError(code, text) from None


class ControllerSession(Session):
    """The controller's end: knows the proxy from its hello on, and which nonces are open on this stream.

    Args:
        zones: names that a hello may give; None: any.
    """

    def __init__(self, zones=None):
        super().__init__(decode_from_proxy)
        self.hello = None
        self.zones = zones
        self.open_nonces = deque()  # nonces that were sent and are not acknowledged

    def check(self, message):
        """Checks a message of the proxy. Raises ProtocolError."""
        if isinstance(message, Hello):
            self._check_hello(message)
        elif not self.hello:
            self.reject("order", f"{message.__struct_config__.tag} before the hello")
        elif isinstance(message, Acknowledgement):
            self._check_acknowledgement(message)
        elif isinstance(message, LoadReport):
            self._check_report(message)

    def _check_hello(self, hello):
        if self.hello:
            self.reject("order", f"a second hello from proxy {self.hello.proxy}")
        if hello.version != VERSION:
            self.reject("version", f"version {hello.version} is not spoken here, only {VERSION}")
        if self.zones is not None and hello.zone not in self.zones:
            self.reject("zone", f"zone '{hello.zone}' of proxy {hello.proxy} is not in the site")
        self.hello = hello

    def _check_acknowledgement(self, message):
        if message.nonce not in self.open_nonces:
            self.reject("order", f"an answer to nonce {message.nonce}, which is not open here")
        # the channel keeps order: the nonces before it are acknowledged as well
        while self.open_nonces.popleft() != message.nonce:
            pass

    def _check_report(self, report):
        for totals in report.met:
            if totals.failed > totals.tries:
                text = f"{totals.failed} of {totals.tries} tries failed at {totals.backend}"
                self.reject("malformed", text)

    def welcome(self, controller, kinds):
        """Returns the bytes of the welcome: the controller's name and the names of its request kinds."""
        return encode_frame(encode(Welcome(VERSION, controller, kinds)))

    def sent(self, nonce):
        """A message goes out on this stream: its nonce, if it has one, may be acknowledged from now on."""
        if nonce is not None:
            self.open_nonces.append(nonce)


class ProxySession(Session):
    """The proxy's end: welcome first, then orders; a fault may come at any time and is the last.

    Args:
        proxy: its name.
        zone: its zone's name.
        rate: requests a second that it usually gets.
        fresh: whether it holds its standing table only.
    """

    def __init__(self, proxy, zone, rate, fresh):
        super().__init__(decode_to_proxy)
        self.hello = Hello(VERSION, proxy, zone, rate, fresh)
        self.welcomed = None

    def start(self):
        """Returns the bytes of the hello."""
        return encode_frame(encode(self.hello))

    def check(self, message):
        """Checks a message of the controller. Raises ProtocolError."""
        if isinstance(message, Welcome):
            if self.welcomed:
                self.reject("order", "a second welcome")
            self.welcomed = message
        elif isinstance(message, Orders) and not self.welcomed:
            self.reject("order", "orders before the welcome")
        elif isinstance(message, Fault):
            self.ended = True

    @staticmethod
    def pack(message):
        """Returns the bytes of a message's frame."""
        return encode_frame(encode(message))
