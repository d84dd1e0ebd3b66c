"""The inventory without streams: news and answers are planned calls."""

from embertray.controller.endpoint_list.messages import RequestFailed, WatchRequest
from embertray.simulation.models.inventory import Inventory


class SimulatedInventory(Inventory):
    """The list, with the controllers that follow it."""

    def __init__(self, simulation, answers):
        super().__init__()
        self.simulation, self.answers, self.followers = simulation, answers, {}

    def list(self, name, zone, state="ready", started=0):
        entry = self.change(name, zone, state, started)
        if not self.down:
            for con, watches in list(self.followers.items()):
                if watches:
                    self.tell(con, self.news(self.simulation.engine.time, self.epoch - 1, [entry]))

    def call(self, con, call):
        self.simulation.engine.at(self.simulation.engine.time + self.answers, self.reply, con, con.line, call)

    def reply(self, con, line, call):
        if con.line is not line or line is None:
            return
        if self.down:
            con.when_awake(con.heard, RequestFailed("down"))
            return
        if isinstance(call, WatchRequest):
            self.followers[con] = call.enabled
        if (news := self.answer(self.simulation.engine.time, call)) is not None:
            self.tell(con, news)

    def tell(self, con, news):
        self.simulation.eyes.told(self.simulation.engine.time, con.name, news)
        con.when_awake(con.heard, news)

    def go_down(self):
        self.down = True
        for con in list(self.followers):
            con.when_awake(con.list_broke)
        self.followers.clear()

    def come_back(self):
        self.down = False
