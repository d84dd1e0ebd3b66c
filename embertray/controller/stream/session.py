"""Both ends of a stream between a proxy and a controller, as state machines without I/O.

A session turns received bytes into messages and checks their order; a proxy sends a hello first, then
acknowledgements and load reports. Malformed, oversized, unexpected or unknown input raises `ProtocolError`,
which ends the session; it then accepts no further input.
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
    """Base of both ends: decodes frames into messages; the first error ends the session.

    Args:
        decode: Function from the bytes of one frame to a message; raises msgspec.DecodeError.

    Attributes:
        ended: Whether the session has ended.
    """

    def __init__(self, decode):
        self.decode = decode
        self.decoder = FrameDecoder()
        self.ended = False

    def receive(self, data):
        """Processes received bytes.

        Args:
            data: The next bytes; b"" is the end of the stream.

        Returns:
            The messages that `data` completes; their order has been checked.

        Raises:
            ProtocolError: The peer violated the protocol, or the session has ended.
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
        """Checks a message in the context of the earlier ones. Raises ProtocolError."""
        raise NotImplementedError

    def reject(self, code, text):
        """Ends the session. Raises ProtocolError."""
        self.ended = True
        raise ProtocolError(code, text) from None


class ControllerSession(Session):
    """The controller's end of a stream.

    Args:
        zones: Names of the zones that a hello may give; None: any.

    Attributes:
        hello: The proxy's Hello, or None before it.
        open_nonces: Nonces that were sent on this stream and are not acknowledged yet.
    """

    def __init__(self, zones=None):
        super().__init__(decode_from_proxy)
        self.hello = None
        self.zones = zones
        self.open_nonces = deque()

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
        # the channel is in order, so this acknowledges all earlier nonces too
        while self.open_nonces.popleft() != message.nonce:
            pass

    def _check_report(self, report):
        for totals in report.met:
            if totals.failed > totals.tries:
                text = f"{totals.failed} of {totals.tries} tries failed at {totals.backend}"
                self.reject("malformed", text)

    def welcome(self, controller, kinds):
        """Returns the frame of the Welcome with the controller's name and the names of its request kinds."""
        return encode_frame(encode(Welcome(VERSION, controller, kinds)))

    def sent(self, nonce):
        """Records that a message with a nonce (None: without one) is sent on this stream."""
        if nonce is not None:
            self.open_nonces.append(nonce)


class ProxySession(Session):
    """The proxy's end: receives a welcome, then orders; a fault may arrive at any time and ends the session.

    Args:
        proxy: The proxy's name.
        zone: Its zone's name.
        rate: Requests a second that it usually receives.
        fresh: Whether it has only its standing table.
    """

    def __init__(self, proxy, zone, rate, fresh):
        super().__init__(decode_to_proxy)
        self.hello = Hello(VERSION, proxy, zone, rate, fresh)
        self.welcomed = None

    def start(self):
        """Returns the frame of the Hello."""
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
        """Returns the frame of a message."""
        return encode_frame(encode(message))
