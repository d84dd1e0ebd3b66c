"""Models, stand-ins, scenarios, the emulator, and true processes under faults."""
