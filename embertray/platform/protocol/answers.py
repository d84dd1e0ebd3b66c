"""The relay's answers to calls with orders: XML in, orders taken or an error out."""

from xml.etree import ElementTree

import msgspec

from .exceptions import UnreadableAnswerError
from .limits import ANSWER_MAX_BYTES, ERROR_CODE_MAX_CHARACTERS, ORDER_COUNT_MAX_DIGITS
from .wire import ANSWER_ACCEPTED, ANSWER_ERRORS, ANSWER_ROOT


class OrdersAccepted(msgspec.Struct, frozen=True):
    """The relay took so many orders of a call, counting from the first."""

    count: int


class CallRejected(msgspec.Struct, frozen=True):
    """The relay took no order of a call; `error` is the code that it named, in small letters."""

    error: str


def read_answer(status, body):
    """Read the relay's answer.

    Args:
        status: Of HTTP.
        body: XML as bytes.

    Returns:
        OrdersAccepted or CallRejected.

    Raises:
        UnreadableAnswerError: it is neither.
    """
    if len(body) > ANSWER_MAX_BYTES:
        raise UnreadableAnswerError(f"an answer of {len(body)} bytes")
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
        raise UnreadableAnswerError(f"status {status} and neither orders taken nor an error")
    return CallRejected(code)


def accepted_count(root):
    """The number of orders taken by an answer's root element, or None if it has no single such number."""
    found = root.findall(ANSWER_ACCEPTED)
    if len(found) != 1:
        return None
    digits = (found[0].text or "").strip()
    # isascii: against digits of other scripts, and marks that are digits to isdigit() and none to int()
    if digits.isascii() and digits.isdigit() and len(digits) <= ORDER_COUNT_MAX_DIGITS:
        return int(digits)
    return None


def error_code(root):
    """The first error's code below an answer's root element, or None; it may stand at any depth."""
    for element in root.iter():
        code = (element.text or "").strip()
        name = element.tag.rpartition("}")[2].lower()  # less its namespace
        if name in ANSWER_ERRORS and code.isalpha() and len(code) <= ERROR_CODE_MAX_CHARACTERS:
            return code.lower()
    return None
