"""HTTP requests to the operators' address of a running controller."""

import anyio

from embertray.common.net.tcp import TcpNet
from embertray.service.admin.client import send_request


async def send_operator_request(address, method, path):
    """Sends one request to the operators' address and returns (status, body).

    Raises TimeoutError after 5 s.
    """
    with anyio.fail_after(5):
        return await send_request(TcpNet(), address, method, path)


async def fetch_page(address, path):
    """Returns the body of one of the operators' pages. Raises TimeoutError after 5 s."""
    with anyio.fail_after(5):
        return (await send_request(TcpNet(), address, "GET", path))[1]
