/**
 * Signals that come before a program can heed them.
 * @module
 */
import process from "node:process";

/** Signals that a service heeds. */
export type ServiceSignal = "SIGHUP" | "SIGTERM" | "SIGINT";

/** Remembers signals until there is a handler for them. */
export class SignalQueue {
  readonly #pending: ServiceSignal[] = [];
  #handler: (signal: ServiceSignal) => void = (signal) =>
    this.#pending.push(signal);

  /** From now on, none of the signals ends the process by itself. */
  constructor() {
    for (const signal of ["SIGHUP", "SIGTERM", "SIGINT"] as const) {
      process.on(signal, () => this.#handler(signal));
    }
  }

  /** Passes on the signals so far, in order, and then each one as it comes. */
  handle(handler: (signal: ServiceSignal) => void): void {
    this.#handler = handler;
    for (const signal of this.#pending.splice(0)) handler(signal);
  }
}
