"""The command line: `embertray serve|check|days|play|stand-in`."""
