/**
 * The signals of this process from the evaluation of this module on. A program imports it
 * before everything else, so that no signal ends it while it loads the rest.
 * @module
 */
import { SignalQueue } from "./signal_queue.ts";

/** Signals that the program has yet to heed. */
export const earlySignals = new SignalQueue();
