/**
 * Binds the listeners that a process can't do without: all of them or none.
 * @module
 */
import { getMessage, TaggedError } from "@bitternfall/errors";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { Listener } from "./listener.ts";

/** Why a listener could not be bound. */
export interface BindFailure {
  /** What the listener is for. */
  readonly role: string;
  readonly port: number;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly reason: string;
}

/** Why {@link bindAll} gave up. */
export type BindErrorDetail =
  | { readonly tag: "timed_out"; readonly failure: BindFailure }
  /** The signal was aborted. */
  | { readonly tag: "stopped" };

/** Thrown when not all listeners could be bound; none of them is open then. */
export class BindError extends TaggedError<BindErrorDetail> {}

/** Options of {@link bindAll}. */
export interface BindOptions {
  /** Time after which a failed attempt is the last one. */
  readonly timeoutMs: number;
  /** Ends the attempts. */
  readonly signal: AbortSignal;
  /** Called for the first failure of each listener. */
  readonly onFailure: (failure: BindFailure) => void;
  /** Called when a bound listener can't accept a connection; it goes on. */
  readonly onAcceptError: (role: string, reason: string) => void;
}

const ATTEMPT_INTERVAL_MS = 100;

/**
 * Binds listeners by role, in order, and returns their ports. Where one fails, those bound
 * before it are closed, and all are tried again. Binding to an IP address takes no turn of
 * the event loop, so that none of the connections to listeners that are closed again has
 * been accepted. Throws {@link BindError}.
 */
export async function bindAll<L extends { readonly [role: string]: Listener }>(
  listeners: L,
  { timeoutMs, signal, onFailure, onAcceptError }: BindOptions,
): Promise<{ [role in keyof L]: number }> {
  const deadline = monotonicNow() + timeoutMs;
  const failedRoles = new Set<string>();
  let order = Object.entries(listeners);
  for (let attempt = 1; !signal.aborted; attempt++) {
    const { ports, failure } = await tryToBind(order, attempt);
    if (failure === undefined && !signal.aborted) {
      for (const [role, { server }] of order) {
        server.on("error", (err) => onAcceptError(role, getMessage(err)));
      }
      return ports as { [role in keyof L]: number };
    }
    // Each stops listening at once; what it waits for are accepted connections.
    for (const listener of Object.values(listeners)) void listener.close();
    if (failure === undefined) break;
    const { role, port, reason } = failure;
    if (!failedRoles.has(role)) onFailure(failure);
    failedRoles.add(role);
    if (monotonicNow() >= deadline) {
      throw new BindError(
        { tag: "timed_out", failure },
        `the ${role} listener could not be bound to port ${port} in ` +
          `${attempt} attempts: ${reason}`,
      );
    }
    // While its port is in use, no other listener is opened for a moment.
    order = [
      [role, listeners[role]!],
      ...order.filter(([other]) => other !== role),
    ];
    await sleep(ATTEMPT_INTERVAL_MS, signal);
  }
  throw new BindError({ tag: "stopped" }, "stopped before it was started");
}

async function tryToBind(
  order: readonly [string, Listener][],
  attempt: number,
): Promise<{ ports: { [role: string]: number }; failure?: BindFailure }> {
  const ports: { [role: string]: number } = {};
  for (const [role, listener] of order) {
    try {
      ports[role] = await listener.listen();
    } catch (err) {
      const { port } = listener;
      const reason = getMessage(err);
      return { ports, failure: { role, port, attempt, reason } };
    }
  }
  return { ports };
}
