"""What a cluster and a control plane claim of themselves, held against what happened."""
