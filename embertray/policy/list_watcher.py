from .actor import Actor, c, i
from .backend import Backend


class ListWatcher(Actor):
    """Follows the list; in ask mode watches it, and asks again with backoff after a failure."""

    def __init__(self, owner):
        super().__init__(owner)
        self.fails, self.ask_at = 0, 0 if owner.site.ask else None

    def on_news(self, news):
        if news.how == "failed":
            self.ask_at = self.now + min(c.ASK_CAP, c.ASK_FIRST << min(self.fails, 6))
            self.fails += 1
            self.owner.orders.append(i.Log("the list did not answer: it is asked again"))
            return
        self.fails, named = 0, {entry.backend for entry in news.entries}
        known = self.owner.backends if news.how in ("whole", "cached") else []
        gone = [i.Entry(each.handle, each.zone, "gone") for each in known if each.handle not in named]
        for entry in news.entries + gone:
            self.owner.part(entry.backend, Backend, self.owner.backends).send("listed", entry)

    def on_beat(self):
        if self.ask_at is not None and self.now >= self.ask_at:
            self.ask_at = None
            self.owner.orders.append(i.Subscribe())
