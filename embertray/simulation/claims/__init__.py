"""What a cluster and a control plane claim of themselves, judged by what happened."""
