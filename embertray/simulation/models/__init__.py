"""Models of the controller's environment, without I/O; the stand-ins and the emulator share them."""
