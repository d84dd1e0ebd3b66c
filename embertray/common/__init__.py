"""What every floor above may use: transports, framing, logs, memory accounts and snapshots on disk."""
