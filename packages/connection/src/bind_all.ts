/**
 * Binds the listeners that a process can't do without.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
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

/** Options of {@link bindAll}. */
export interface BindOptions {
  readonly onFailure: (failure: BindFailure) => void;
}

/** Binds listeners by role, in order, and returns their ports. */
export async function bindAll<L extends { readonly [role: string]: Listener }>(
  listeners: L,
  { onFailure }: BindOptions,
): Promise<{ [role in keyof L]: number }> {
  const ports: { [role: string]: number } = {};
  for (const [role, listener] of Object.entries(listeners)) {
    try {
      ports[role] = await listener.listen();
    } catch (err) {
      const { port } = listener;
      onFailure({ role, port, attempt: 1, reason: getMessage(err) });
      throw err;
    }
  }
  return ports as { [role in keyof L]: number };
}
