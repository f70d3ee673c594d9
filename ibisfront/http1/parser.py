"""Reads complete HTTP/1.1 messages from a byte stream with ``httptools``."""

from __future__ import annotations

import httptools
import msgspec

__all__ = [
    "HEADER_BYTES",
    "MalformedMessageError",
    "RawMessage",
    "ReplyMemory",
    "ReplyReader",
    "RequestReader",
]

_FIRST_STATUS = 100
_LAST_STATUS = 599
"""All statuses of the protocol are between these."""

_FIRST_FINAL_STATUS = 200
"""Statuses below this are interim; the final reply follows."""

_MAXIMUM_REPLY_HEAD_BYTES = 64 * 1024
"""Bytes other than those of bodies that a server may send for a request: heads, also
of interim replies, trailers and the framing of chunks."""

_FRAMING_FACTOR = 8
"""Bytes of framing allowed for each byte of a body: chunks of one byte take six."""

HEADER_BYTES = 160
"""Memory of a header besides its bytes: two byte strings, their tuple and its place in
a list."""

_MESSAGE_BYTES = 1_024
"""Memory of a message besides its headers and body."""

_LINE_FRAMING_BYTES = 3
"""The least that a header takes besides its name and value: the colon and the end of
the line."""

_GROWTH_FACTOR = 1.125
"""Memory of a body that grows piece by piece, relative to its size."""

_SMALL_BODY_BYTES = 256 * 1024
"""A smaller reply is read even when the memory for replies is used up."""


class MalformedMessageError(Exception):
    """The bytes are not an HTTP/1.1 message, or exceed a limit.

    Parameters
    ----------
    status : int
        Status of the answer to a caller: 400, 413 or 431.
    detail : str
        Description of the error.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RawMessage(msgspec.Struct):
    """A message as received.

    Attributes
    ----------
    target : bytes
        The target of a request; empty for a reply.
    method : bytes
        The method of a request; empty for a reply.
    status : int
        The status of a reply; 0 for a request.
    headers : list of tuple of bytes
        Names as received, and values.
    body : bytes
        The complete body.
    keeps_open : bool
        Whether the sender keeps the connection open after the message.
    """

    target: bytes
    method: bytes
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keeps_open: bool

    @property
    def held_bytes(self) -> int:
        """Memory that it uses, with a copy that is being forwarded."""
        size = _MESSAGE_BYTES + 2 * (len(self.target) + len(self.body))
        for name, value in self.headers:
            size += HEADER_BYTES + 2 * (len(name) + len(value))
        return size


class ReplyMemory:
    """The memory that the incomplete replies of a process use.

    Parameters
    ----------
    limit_bytes : int
        The memory above which large replies are rejected.
    """

    __slots__ = ("_limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit is exceeded."""
        return self.used_bytes > self._limit_bytes


class _MessageReader:
    """Common base of request and reply readers: callbacks of ``httptools``.

    Attributes
    ----------
    messages : list of RawMessage
        Complete messages that the caller of ``feed`` has not removed yet.
    is_mid_message : bool
        Whether a message has begun and is incomplete.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_headers",
        "_joined_body",
        "_target",
        "head_complete",
        "is_mid_message",
        "maximum_body_bytes",
        "messages",
    )

    def __init__(self, maximum_body_bytes: int) -> None:
        self.maximum_body_bytes = maximum_body_bytes
        self.messages: list[RawMessage] = []
        self.is_mid_message = False
        self.head_complete = False
        self._headers: list[tuple[bytes, bytes]] = []
        # A body of one piece is not copied; many small pieces as such would use
        # twenty times their size.
        self._body = b""
        self._joined_body: bytearray | None = None
        self._body_bytes = 0
        self._target = b""

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self.is_mid_message = True
        self.head_complete = False
        self._release()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self.maximum_body_bytes:
            raise MalformedMessageError(413, "the body is too large")
        if self._joined_body is not None:
            self._joined_body += body
        elif self._body:
            self._joined_body = bytearray(self._body + body)
        else:
            self._body = body

    @property
    def body_bytes(self) -> int:
        """Bytes received of the body of an incomplete message."""
        return self._body_bytes if self.is_mid_message else 0

    def _release(self) -> None:
        """Release a message that is complete or no longer wanted."""
        self._headers = []
        self._target = b""
        self._drop_body()

    def _join_body(self) -> bytes:
        return self._body if self._joined_body is None else bytes(self._joined_body)

    def _drop_body(self) -> None:
        self._body = b""
        self._joined_body = None
        self._body_bytes = 0


class ReplyReader(_MessageReader):
    """Reads the replies on a connection to a server.

    Parameters
    ----------
    maximum_body_bytes : int
        A larger reply is malformed; it would not fit in memory.
    memory : ReplyMemory, optional
        Memory that it shares with other readers.

    Attributes
    ----------
    expects_body : bool
        False while the reply to a HEAD request is outstanding: it states a
        length but has no body, so it is complete after its head. ``httptools``
        cannot be configured for that, so it parses nothing after such a reply.
    """

    __slots__ = (
        "_bodies_bytes",
        "_ends_with_stream",
        "_fed_bytes",
        "_memory",
        "_parser",
        "expects_body",
    )

    def __init__(
        self, maximum_body_bytes: int, memory: ReplyMemory | None = None
    ) -> None:
        super().__init__(maximum_body_bytes)
        self._memory = ReplyMemory(maximum_body_bytes) if memory is None else memory
        self._ends_with_stream = False
        # Since the last request; the second without heads and framing.
        self._fed_bytes = 0
        self._bodies_bytes = 0
        self.expects_body = True
        self._parser = httptools.HttpResponseParser(self)

    def expect_reply(self, *, expects_body: bool = True) -> None:
        """Prepare for the reply to a request that is sent."""
        self.expects_body = expects_body
        self._fed_bytes = 0
        self._bodies_bytes = 0

    def close(self) -> None:
        """Release the memory of an incomplete reply."""
        self._drop_body()

    def feed(self, data: bytes) -> None:
        """Parse bytes; append complete replies to ``messages``.

        What a server sends for one request is limited, whatever it consists of: a
        faulty one may send a head, interim replies or a body without end.

        Raises
        ------
        MalformedMessageError
            If the bytes are not a reply.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError(400, "unrequested protocol upgrade") from error
        except httptools.HttpParserError as error:
            raise _malformed_message_error(error) from error
        self._fed_bytes += len(data)
        framing_bytes = self._fed_bytes - self._bodies_bytes
        allowed_bytes = _MAXIMUM_REPLY_HEAD_BYTES + min(
            _FRAMING_FACTOR * self._bodies_bytes, self.maximum_body_bytes
        )
        if framing_bytes > allowed_bytes:
            raise MalformedMessageError(431, "the head or the framing is too large")

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body, if there is memory for it."""
        self._memory.used_bytes += len(body)
        self._bodies_bytes += len(body)
        super().on_body(body)
        if self._bodies_bytes > self.maximum_body_bytes:
            raise MalformedMessageError(413, "the bodies are too large")
        if self._memory.is_full and self._body_bytes > _SMALL_BODY_BYTES:
            raise MalformedMessageError(413, "the memory for replies is used up")

    def _drop_body(self) -> None:
        self._memory.used_bytes -= self._body_bytes
        super()._drop_body()

    def on_headers_complete(self) -> None:
        """Determine whether the reply states its length."""
        self.head_complete = True
        status = self._parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            # Below, it would be taken for interim, and the final reply awaited in vain.
            raise MalformedMessageError(400, f"the status {status:03} is impossible")
        self._ends_with_stream = status not in (204, 304) and not any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        if not self.expects_body and status >= _FIRST_FINAL_STATUS:
            self.is_mid_message = False
            self._append(False)

    def on_message_complete(self) -> None:
        """Append the complete reply; skip interim replies."""
        if not self.is_mid_message:
            return
        self.is_mid_message = False
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        self._append(self._parser.should_keep_alive())

    def end(self) -> bool:
        """Handle the orderly end of the stream.

        Returns
        -------
        bool
            Whether it ended between messages. A reply without a length is
            complete only now; any other that has begun was truncated.
        """
        if not self.is_mid_message:
            return True
        if self.head_complete and self._ends_with_stream:
            self.is_mid_message = False
            self._append(False)
            return True
        return False

    def _append(self, keeps_open: bool) -> None:
        self.messages.append(
            RawMessage(
                b"",
                b"",
                self._parser.get_status_code(),
                self._headers,
                self._join_body(),
                keeps_open,
            )
        )
        self._release()


class RequestReader(_MessageReader):
    """Reads the requests on a caller's connection.

    Parameters
    ----------
    maximum_header_bytes, maximum_body_bytes : int
        Limits of a caller's request.

    Attributes
    ----------
    wants_continue : bool
        Whether the caller waits for ``100 Continue`` to send the body.
    """

    __slots__ = (
        "_framing_bytes",
        "_head_bytes",
        "_parser",
        "maximum_header_bytes",
        "wants_continue",
    )

    def __init__(self, maximum_header_bytes: int, maximum_body_bytes: int) -> None:
        super().__init__(maximum_body_bytes)
        self.maximum_header_bytes = maximum_header_bytes
        self._head_bytes = 0
        self._framing_bytes = 0
        self.wants_continue = False
        self._parser = httptools.HttpRequestParser(self)

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete message uses."""
        if not self.is_mid_message:
            return 0
        return (
            len(self._headers) * HEADER_BYTES
            + self._head_bytes
            + int(self._body_bytes * _GROWTH_FACTOR)
        )

    def close(self) -> None:
        """Release everything that has been read and not been taken."""
        self.messages.clear()
        self.is_mid_message = False
        self._release()

    def feed(self, data: bytes) -> None:
        """Parse bytes; append complete requests to ``messages``.

        Raises
        ------
        MalformedMessageError
            If the bytes are not a request, or exceed a limit.
        """
        is_in_body = self.is_mid_message and self.head_complete
        body_bytes = self._body_bytes
        complete = len(self.messages)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError(
                400, "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            raise _malformed_message_error(error) from error
        # An endless head triggers no header callback, so its size is checked here.
        if self.is_mid_message and not self.head_complete:
            self._head_bytes += len(data)
            self._check_head_size()
        elif is_in_body and self.is_mid_message and len(self.messages) == complete:
            self._framing_bytes += len(data) - (self._body_bytes - body_bytes)
            self._check_framing()

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in pieces."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing and an oversized head.

        A request with two lengths, or with a length and chunked encoding, may be
        parsed as one request here and as two by a backend server (request smuggling);
        the second would then run although no caller sent it.
        """
        self.head_complete = True
        size = len(self._target)
        lengths = 0
        for name, value in self._headers:
            size += len(name) + len(value) + _LINE_FRAMING_BYTES
            if name.lower() in (b"content-length", b"transfer-encoding"):
                lengths += 1
            elif name.lower() == b"expect" and value.lower() == b"100-continue":
                self.wants_continue = True
        if lengths > 1:
            raise MalformedMessageError(400, "the request states two body lengths")
        self._head_bytes = size
        self._check_head_size()

    def on_message_complete(self) -> None:
        """Append the complete request."""
        self.is_mid_message = False
        self.wants_continue = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self.messages.append(
            RawMessage(
                self._target,
                self._parser.get_method(),
                0,
                self._headers,
                self._join_body(),
                self._parser.should_keep_alive(),
            )
        )
        self._release()

    def _check_framing(self) -> None:
        """Reject a body whose chunk extensions or trailers have no end."""
        allowed_bytes = self.maximum_header_bytes + _FRAMING_FACTOR * self._body_bytes
        if self._framing_bytes > allowed_bytes:
            raise MalformedMessageError(431, "the framing of the body is too large")

    def _check_head_size(self) -> None:
        if self._head_bytes > self.maximum_header_bytes:
            raise MalformedMessageError(431, "the head is too large")


def _malformed_message_error(error: httptools.HttpParserError) -> MalformedMessageError:
    """Return the error that a callback raised, or else that of the parser."""
    inner = error.__context__
    if isinstance(inner, MalformedMessageError):
        return inner
    return MalformedMessageError(400, str(error))
