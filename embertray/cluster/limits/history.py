"""The last request of each incarnation of each member, for whoever leads next.

Proxies go on acting on what a former incarnation sent them, so its requests count after it has ended.
"""

INCARNATIONS_KEPT = 4  # of a member: its proxies have joined others long before it has started so often


class RequestHistory:
    """What a member remembers of all members' requests.

    Rule: a member may lead only once its history is complete: it has run since the cluster began, or a
    majority has sent it what they remember. Reason: whoever leads without a request of a former incarnation
    lends units that proxies still act on.

    Attributes:
        complete: Whether this member may lead.
    """

    def __init__(self, name, count, new_cluster):
        """Begin with no requests.

        Args:
            name: Name of this member.
            count: How many members there are, this one included.
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
            name: Whose it is.
            request: The QuotaRequest.

        Returns:
            False if it is no later than what is remembered.
        """
        requests = self.by_member.setdefault(name, {})
        if requests and request.sequence <= max(known.sequence for known in requests.values()):
            return False
        requests[request.incarnation] = request
        for incarnation in sorted(requests)[:-INCARNATIONS_KEPT]:
            del requests[incarnation]
        return True

    def requests_by_member(self):
        """Return member -> its last request of each incarnation, in their order."""
        return {
            name: [requests[incarnation] for incarnation in sorted(requests)]
            for name, requests in self.by_member.items()
        }

    def merge(self, sender, requests_by_member):
        """Take what another member remembers, where it is later.

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
