"""The controller on the platform: what starts, transports, task groups and signals round platform.Post."""
