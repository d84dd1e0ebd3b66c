"""All of embertray's decisions: make one Controller an instance, then step it with each batch of events."""

from .controller import Controller as Controller
