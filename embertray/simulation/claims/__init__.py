"""Claims about a cluster and a control plane, checked against what happens in a simulation."""
