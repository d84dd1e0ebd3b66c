"""What a stream raises when it is gone."""

import anyio

S = 10**9
BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
