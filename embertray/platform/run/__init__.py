"""The program that `run` of the deploy file starts: sockets, tasks and signals round a PlatformController."""
