"""Shared by all packages: transports, framing, logging, memory accounts and snapshots on disk."""
