"""The last request of each incarnation of each member, kept for the next leader.

Proxies keep using the quotas that a former incarnation sent them, so its requests count after it has ended.
"""

INCARNATIONS_KEPT = 4  # per member; before that many restarts its proxies have long joined other members


class RequestHistory:
    """What a member remembers of all members' requests.

    A member may only lead once its history is complete: it has run since the cluster was created, or a
    majority has sent it their histories. A leader that lacks a request of a former incarnation would grant
    units that proxies still use.

    Attributes:
        complete: Whether this member may lead.
    """

    def __init__(self, name, count, new_cluster):
        """Create an empty history.

        Args:
            name: Name of this member.
            count: Number of members, this one included.
            new_cluster: Whether no member has run before.
        """
        self.name = name
        self.count = count
        self.by_member = {}  # member -> incarnation -> QuotaRequest
        self.replied = set()
        self.complete = new_cluster

    def record(self, name, request):
        """Remember a request.

        Args:
            name: Name of the member that sent it.
            request: The QuotaRequest.

        Returns:
            False if it is not newer than the remembered ones.
        """
        requests = self.by_member.setdefault(name, {})
        if requests and request.sequence <= max(known.sequence for known in requests.values()):
            return False
        requests[request.incarnation] = request
        for incarnation in sorted(requests)[:-INCARNATIONS_KEPT]:
            del requests[incarnation]
        return True

    def requests_by_member(self):
        """Return member -> its last request of each incarnation, oldest first."""
        return {
            name: [requests[incarnation] for incarnation in sorted(requests)]
            for name, requests in self.by_member.items()
        }

    def merge(self, sender, requests_by_member):
        """Merge another member's history: the later request of each incarnation is kept.

        Args:
            sender: Name of that member.
            requests_by_member: As `requests_by_member` returns them.
        """
        for name, requests in requests_by_member.items():
            known = self.by_member.setdefault(name, {})
            for request in requests:
                former = known.get(request.incarnation)
                if former is None or request.sequence > former.sequence:
                    known[request.incarnation] = request
        self.replied.add(sender)
        if 2 * len(self.replied | {self.name}) > self.count:
            self.complete = True
