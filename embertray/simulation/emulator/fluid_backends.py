"""The backends of a FluidSimulation."""

from dataclasses import dataclass

import numpy as np

# Lower bound of the capacity in divisions, cores.
MIN_CAPACITY = 1e-9


@dataclass
class BackendResults:
    """Outcomes of one step's requests; arrays of backends x kinds.

    Attributes:
        failed: Part of the requests that failed.
        latency: Mean latency of the others, ns.
        late: Part of the others that exceeded the latency objective.
    """

    failed: np.ndarray
    latency: np.ndarray
    late: np.ndarray


class FluidBackends:
    """Passes flows of requests to the backend models.

    Args:
        mix: (RequestKind, share, mean work in ns) items.
        retries: Number of a client's retries.
        step: Length of a step, ns.
    """

    def __init__(self, mix, retries, step):
        self.step = step
        self.kinds = [kind for kind, _, _ in mix]
        self.works = np.array([work for _, _, work in mix], float)
        # A client that retries gives the first attempt half of its time.
        self._timeout = min(kind.client_timeout for kind in self.kinds) // (2 if retries else 1)

    def process(self, now, backends, flows, on_processed):
        """Processes one step's requests.

        Args:
            now: ns.
            backends: The SimulatedBackends.
            flows: Numbers of requests; backends x kinds.
            on_processed: Called with (column, backend, mean work in ns) for each that had work.

        Returns:
            The BackendResults.
        """
        results = BackendResults(np.zeros_like(flows), np.zeros_like(flows), np.zeros_like(flows))
        loads = flows.sum(axis=1)
        for column, backend in enumerate(backends):
            requests = loads[column]
            if requests <= 0 and backend.model.queued_work <= 0:
                continue
            work = float(flows[column] @ self.works / requests) if requests > 0 else float(self.works.mean())
            self._process_backend(now, column, backend.model, requests, work, results)
            on_processed(column, backend, work)
        return results

    def _process_backend(self, now, column, model, requests, work, results):
        result = model.serve_flow(now, self.step, requests, work, self._timeout)
        slowdown = model.shape.cores / max(MIN_CAPACITY, model.capacity(now))
        wait = max(0.0, result.latency - work * slowdown)
        for k, kind in enumerate(self.kinds):
            service = self.works[k] * slowdown
            results.latency[column, k] = wait + service
            results.late[column, k] = late_part(wait, kind.latency_objective - service)
            fails = kind.external_id in model.faults.failing_kinds
            results.failed[column, k] = 1.0 if fails else 1 - result.done


def late_part(mean_wait, allowed):
    """The part of requests that wait too long, if waits are distributed exponentially.

    Args:
        mean_wait: ns.
        allowed: The longest wait within the latency objective, ns.

    Returns:
        A part, 0 to 1.
    """
    if allowed <= 0:
        return 1.0
    return float(np.exp(-allowed / mean_wait)) if mean_wait > 0 else 0.0
