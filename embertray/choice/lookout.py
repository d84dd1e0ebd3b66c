from .actor import Actor, c, i
from .be import Be


class Lookout(Actor):
    """Follows the list; in ask mode watches it, and asks again with backoff after a failure."""

    def __init__(self, hub):
        super().__init__(hub)
        self.fails, self.ask_at = 0, 0 if hub.site.ask else None

    def on_news(self, news):
        if news.how == "failed":
            self.ask_at = self.now + min(c.ASK_CAP, c.ASK_FIRST << min(self.fails, 6))
            self.fails += 1
            self.hub.orders.append(i.Log("the list did not answer: it is asked again"))
            return
        self.fails, named = 0, {entry.backend for entry in news.entries}
        lacks = [be for be in self.hub.bes if be.handle not in named and news.how in ("whole", "cached")]
        for entry in news.entries + [i.Entry(be.handle, be.zone, "gone") for be in lacks]:
            self.hub.part(entry.backend, Be, self.hub.bes).tell("listed", entry)

    def on_beat(self):
        if self.ask_at is not None and self.now >= self.ask_at:
            self.ask_at = None
            self.hub.orders.append(i.Subscribe())
