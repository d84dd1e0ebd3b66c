"""The proxy of a FluidSimulation."""

from .proxy import SimulatedProxy


class FluidProxy(SimulatedProxy):
    """A proxy whose tables and totals are rows of the simulation's arrays.

    Attributes:
        row: Its row in the simulation's arrays.
    """

    row = 0

    def apply(self, session, orders):
        """Puts orders into effect, as SimulatedProxy does.

        Args:
            session: The Hello of the stream that carried them.
            orders: The Orders.
        """
        super().apply(session, orders)
        self.simulation.tables.changed.add(self.row)

    def break_stream(self):
        """Breaks the stream, if there is one, which may change the tables."""
        super().break_stream()
        self.simulation.tables.changed.add(self.row)

    def on_joined(self, controller):
        """Handles an accepted dial: load reports to a new controller count from now on.

        Args:
            controller: The SimulatedController.
        """
        super().on_joined(controller)
        self.simulation.totals.clear(self.row, self.simulation.engine.time)

    def report(self):
        """Sends a load report, if it can, and schedules the next."""
        simulation = self.simulation
        if self.session is not None and not self.paused:
            self._send_report(simulation.draw_report(self.row))
        else:
            simulation.totals.clear(self.row, simulation.engine.time)
        simulation.engine.after(simulation.site.report_interval, self.report)
