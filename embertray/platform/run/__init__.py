"""The program that the deploy file starts: sockets, tasks and signal handling for a PlatformController."""
