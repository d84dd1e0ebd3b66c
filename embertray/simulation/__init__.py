"""Models, stand-ins, scenarios, the emulator, and tests with real processes under faults."""
