"""Requests at a running controller's operators' address, for the commands that show what it says."""

import anyio

from embertray.common.net.tcp import TcpNet
from embertray.service.admin.client import send_request


async def send_operator_request(address, method, path):
    """(status, body) of one request at the operators' address."""
    with anyio.fail_after(5):
        return await send_request(TcpNet(), address, method, path)


async def fetch_page(address, path):
    """The body of one operators' page."""
    with anyio.fail_after(5):
        return (await send_request(TcpNet(), address, "GET", path))[1]
