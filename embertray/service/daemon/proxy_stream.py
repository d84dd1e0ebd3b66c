"""The stream of one proxy that has joined."""

import anyio

from embertray.common.framing import encode_frame
from embertray.controller.channel.send_buffer import SendBuffer
from embertray.controller.stream.messages import Fault, encode

CLOSED_BY_PEER = "closed by the peer"


class ProxyStream:
    """A joined proxy's stream.

    Args:
        conn: The QueuedConnection.
        session: The ControllerSession, which has received the Hello.

    Attributes:
        send_buffer: The SendBuffer: messages that the transport has not taken yet.
        hello: The proxy's Hello.
        scope: Cancelled when the stream is cut.
        end_reason: Why it ended, for the log.
    """

    def __init__(self, conn, session):
        self.conn = conn
        self.session = session
        self.send_buffer = SendBuffer()
        self.hello = session.hello
        self.scope = anyio.CancelScope()
        self.end_reason = CLOSED_BY_PEER
        conn.on_sent = self.send_buffer.message_written

    @property
    def name(self):
        """The proxy's name."""
        return self.hello.proxy

    def cut(self, reason, code=None):
        """Ends the stream.

        Args:
            reason: Why, for the log; also the text of the Fault, if one is sent.
            code: Code of a Fault that is sent if the peer takes it at once; None: the peer is sent nothing.
        """
        self.end_reason = reason
        if code:
            self.conn.put(encode_frame(encode(Fault(code, reason))))
            self.send_buffer.message_queued(0, 0)
        self.scope.cancel()
