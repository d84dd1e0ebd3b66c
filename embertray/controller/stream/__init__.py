"""The protocol to proxies: messages, sessions and a proxy's routing state; without I/O (docs/protocol.md)."""
