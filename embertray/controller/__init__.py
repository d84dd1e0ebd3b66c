"""One controller without I/O: the layers between the policy and the transports."""
