"""The inventory without streams: news and answers are planned calls."""

from embertray.controller.endpoint_list.messages import RequestFailed, WatchRequest
from embertray.simulation.models.inventory import Inventory


class SimulatedEndpointList(Inventory):
    """The list, with the controllers that follow it."""

    def __init__(self, simulation, answers):
        super().__init__()
        self.simulation, self.answers, self.followers = simulation, answers, {}

    def list(self, name, zone, state="ready", started=0):
        entry = self.change(name, zone, state, started)
        if not self.down:
            for controller, watches in list(self.followers.items()):
                if watches:
                    self.tell(controller, self.news(self.simulation.engine.time, self.epoch - 1, [entry]))

    def call(self, controller, call):
        self.simulation.engine.at(
            self.simulation.engine.time + self.answers, self.reply, controller, controller.line, call
        )

    def reply(self, controller, line, call):
        if controller.line is not line or line is None:
            return
        if self.down:
            controller.when_awake(controller.heard, RequestFailed("down"))
            return
        if isinstance(call, WatchRequest):
            self.followers[controller] = call.enabled
        if (news := self.answer(self.simulation.engine.time, call)) is not None:
            self.tell(controller, news)

    def tell(self, controller, news):
        self.simulation.eyes.told(self.simulation.engine.time, controller.name, news)
        controller.when_awake(controller.heard, news)

    def go_down(self):
        self.down = True
        for controller in list(self.followers):
            controller.when_awake(controller.list_broke)
        self.followers.clear()

    def come_back(self):
        self.down = False
