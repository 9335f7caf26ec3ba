/**
 * Calls that run at most once. Each is claimed in the journal before it is sent: through
 * the home of its journal shard or, if that can't be reached, by this VM directly.
 * @module
 */
import * as crypto from "node:crypto";
import type {
  ClaimOutcome,
  Journal,
  ProbeResult,
  SettleEntry,
} from "@bitternfall/journal";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh, Result } from "@bitternfall/peer";
import { type Incarnation, monotonicNow, sleep } from "@bitternfall/types";

/** State of a claim on the VM that made it. */
enum ClaimState {
  /** Requested, but not confirmed by the journal yet. */
  Claiming = "claiming",
  /** Confirmed: only this VM may send the call. */
  Running = "running",
  /** The call has ended; its settlement is not durable yet. */
  Over = "over",
}

/** Options of {@link KeyedCalls}. */
export interface KeyedCallsOptions {
  readonly vmId: string;
  readonly incarnation: Incarnation;
  readonly journal: Journal;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly claimTimeoutMs: number;
}

/** A claim that this VM holds. */
export interface Claim {
  readonly key: string;
  readonly claimId: string;
  /** Monotonic time after which the call must not be sent any more. */
  readonly sendDeadline: number;
}

/** Result of a claim: held by this VM, or the state of the call that holds the key. */
export type ClaimResult =
  | { readonly kind: "held"; readonly claim: Claim }
  | Exclude<ClaimOutcome, { kind: "claimed" } | { kind: "running" }>
  /** Another call with the key was still running when the wait timed out. */
  | { readonly kind: "running" };

const MAX_SEND_DELAY_MS = 5000;
const JOIN_POLL_INTERVAL_MS = 120;
const MIN_SETTLE_RETRY_MS = 300;
const MAX_SETTLE_RETRY_MS = 3000;

/** Returns the name of the role whose owner is the home of a journal shard. */
export function getJournalRole(shard: number): string {
  return `journal/${shard}`;
}

/** Claims and settles the keyed calls of this VM. */
export class KeyedCalls {
  readonly #options: KeyedCallsOptions;
  readonly #claims = new Map<string, ClaimState>();
  #unsettled = 0;

  constructor(options: KeyedCallsOptions) {
    this.#options = options;
  }

  /** Number of settlements that are not durable yet. */
  get unsettled(): number {
    return this.#unsettled;
  }

  /** Claims a key; waits up to `joinTimeoutMs` for a running call with the same key. */
  async claim(
    key: string,
    options: { fingerprint: string; joinTimeoutMs: number },
  ): Promise<ClaimResult> {
    const claimId = crypto.randomUUID();
    const joinDeadline = monotonicNow() + options.joinTimeoutMs;
    for (;;) {
      const requestedAt = monotonicNow();
      this.#claims.set(claimId, ClaimState.Claiming);
      const outcome = await this.#requestClaim({
        key,
        claimId,
        fingerprint: options.fingerprint,
      });
      // A probe may have abandoned the claim while the response was in flight.
      const isStillClaiming = this.#claims.get(claimId) === ClaimState.Claiming;
      this.#claims.delete(claimId);
      if (outcome.kind === "claimed") {
        if (!isStillClaiming) return { kind: "unavailable" };
        this.#claims.set(claimId, ClaimState.Running);
        return {
          kind: "held",
          claim: {
            key,
            claimId,
            sendDeadline: requestedAt + MAX_SEND_DELAY_MS,
          },
        };
      }
      if (outcome.kind !== "running") return outcome;
      if (monotonicNow() > joinDeadline) return { kind: "running" };
      await sleep(JOIN_POLL_INTERVAL_MS);
    }
  }

  /** Settles a claim; retries in the background until the settlement is durable. */
  settle(
    claim: Claim,
    end: { result: SettleEntry["result"]; status: number; answer: string },
  ): void {
    this.#claims.set(claim.claimId, ClaimState.Over);
    this.#unsettled++;
    void this.#settleUntilDurable({
      kind: "settle",
      key: claim.key,
      claimId: claim.claimId,
      ...end,
    });
  }

  /**
   * Reports the state of a claim to the shard's home; abandons it if it is not confirmed.
   * A claim of an earlier incarnation may have been sent by that process.
   */
  probe(claimId: string, incarnation: Incarnation): ProbeResult {
    if (incarnation !== this.#options.incarnation) return "gone";
    const state = this.#claims.get(claimId);
    if (state === ClaimState.Running) return "running";
    if (state === ClaimState.Over) return "over";
    this.#claims.delete(claimId);
    return "abandoned";
  }

  async #requestClaim(
    req: { key: string; claimId: string; fingerprint: string },
  ): Promise<ClaimOutcome> {
    const { vmId, incarnation, journal, membership, mesh, claimTimeoutMs } =
      this.#options;
    const { key, claimId, fingerprint } = req;
    const home = membership.getOwner(
      getJournalRole(journal.getShardNumber(key)),
    );
    if (home !== undefined && home !== vmId) {
      try {
        return decodeOutcome(
          await mesh.call(home, "journal.claim", {
            params: [key, fingerprint, claimId, vmId, incarnation],
            timeoutMs: claimTimeoutMs,
          }),
        );
      } catch {
        // The home can't be reached. This VM can write the claim itself, since the journal's
        // conditional update prevents a second claim of the key.
      }
    }
    return await journal.claim({
      key,
      fingerprint,
      claimId,
      vm: vmId,
      incarnation,
    });
  }

  async #settleUntilDurable(entry: SettleEntry): Promise<void> {
    let retryDelayMs = MIN_SETTLE_RETRY_MS;
    while (!await this.#trySettle(entry)) {
      await sleep(retryDelayMs * (0.5 + Math.random()));
      retryDelayMs = Math.min(MAX_SETTLE_RETRY_MS, retryDelayMs * 2);
    }
    this.#claims.delete(entry.claimId);
    this.#unsettled--;
  }

  async #trySettle(entry: SettleEntry): Promise<boolean> {
    const { vmId, journal, membership, mesh, claimTimeoutMs } = this.#options;
    const { key, claimId, result, status, answer } = entry;
    const home = membership.getOwner(
      getJournalRole(journal.getShardNumber(key)),
    );
    if (home === undefined || home === vmId) return await journal.settle(entry);
    try {
      return await mesh.call(home, "journal.settle", {
        params: [key, claimId, result, status, answer],
        timeoutMs: claimTimeoutMs,
      });
    } catch {
      return false;
    }
  }
}

/** Encodes a claim outcome as a peer message. */
export function encodeOutcome(outcome: ClaimOutcome): Result<"journal.claim"> {
  if (outcome.kind === "done") return ["done", outcome.status, outcome.answer];
  if (outcome.kind === "running") {
    return ["running", outcome.vm, outcome.incarnation, outcome.claimId];
  }
  return [outcome.kind];
}

function decodeOutcome(result: Result<"journal.claim">): ClaimOutcome {
  if (result[0] === "done") {
    return { kind: "done", status: result[1], answer: result[2] };
  }
  if (result[0] === "running") {
    return {
      kind: "running",
      vm: result[1],
      incarnation: result[2],
      claimId: result[3],
    };
  }
  return { kind: result[0] };
}
