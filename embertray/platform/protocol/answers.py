"""Parses the relay's XML answers to calls with orders: the number of accepted orders, or an error."""

from xml.etree import ElementTree

import msgspec

from .exceptions import UnreadableAnswerError
from .limits import ANSWER_MAX_BYTES, ERROR_CODE_MAX_CHARACTERS, ORDER_COUNT_MAX_DIGITS
from .wire import ANSWER_ACCEPTED, ANSWER_ERRORS, ANSWER_ROOT


class OrdersAccepted(msgspec.Struct, frozen=True):
    """The relay accepted the first `count` orders of a call."""

    count: int


class CallRejected(msgspec.Struct, frozen=True):
    """The relay accepted no order of a call; `error` is its error code in lower case."""

    error: str


def read_answer(status, body):
    """Parse the relay's answer.

    Args:
        status: HTTP status code.
        body: XML as bytes.

    Returns:
        OrdersAccepted or CallRejected.

    Raises:
        UnreadableAnswerError: the answer is neither.
    """
    if len(body) > ANSWER_MAX_BYTES:
        raise UnreadableAnswerError(f"answer too large: {len(body)} bytes")
    try:
        root = ElementTree.fromstring(body)
    except (ElementTree.ParseError, ValueError, LookupError) as error:
        raise UnreadableAnswerError(str(error)) from None
    if status == 200 and root.tag == ANSWER_ROOT:
        count = accepted_count(root)
        if count is not None:
            return OrdersAccepted(count)
    code = error_code(root)
    if code is None:
        raise UnreadableAnswerError(f"status {status} with neither an order count nor an error code")
    return CallRejected(code)


def accepted_count(root):
    """Return the number of accepted orders below the root element, or None unless there is exactly one."""
    found = root.findall(ANSWER_ACCEPTED)
    if len(found) != 1:
        return None
    digits = (found[0].text or "").strip()
    # isascii: isdigit() also accepts digits of other scripts and superscripts, which int() may reject
    if digits.isascii() and digits.isdigit() and len(digits) <= ORDER_COUNT_MAX_DIGITS:
        return int(digits)
    return None


def error_code(root):
    """Return the first error code at any depth below the root element, or None."""
    for element in root.iter():
        code = (element.text or "").strip()
        name = element.tag.rpartition("}")[2].lower()  # without its namespace
        if name in ANSWER_ERRORS and code.isalpha() and len(code) <= ERROR_CODE_MAX_CHARACTERS:
            return code.lower()
    return None
