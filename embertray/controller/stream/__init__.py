"""The protocol to proxies: frames, messages, sessions and what a proxy holds; sans-I/O (docs/protocol.md)."""
