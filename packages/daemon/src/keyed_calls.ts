/**
 * Calls that run at most once: each is claimed in the journal before it is sent, at the
 * home of its shard or, where that can't be reached, from this VM.
 * @module
 */
import * as crypto from "node:crypto";
import type { ClaimOutcome, Journal, SettleEntry } from "@bitternfall/journal";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh, Result } from "@bitternfall/peer";
import { monotonicNow, sleep } from "@bitternfall/types";

/** How a claim stands on the VM that made it. */
enum ClaimState {
  /** The journal has not confirmed it yet. */
  Claiming = "claiming",
  /** Confirmed: this VM alone may send the call. */
  Running = "running",
  /** The call is over; its settlement is not yet durable. */
  Over = "over",
}

/** Options of {@link KeyedCalls}. */
export interface KeyedCallsOptions {
  readonly vmId: string;
  readonly incarnation: number;
  readonly journal: Journal;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly claimTimeoutMs: number;
}

/** A claim that this VM holds. */
export interface Claim {
  readonly key: string;
  readonly claimId: string;
  /** Time by which the call must have been sent. */
  readonly sendBy: number;
}

/** Answer to a claim: held, or what is known instead. */
export type ClaimAnswer =
  | { readonly kind: "held"; readonly claim: Claim }
  | Exclude<ClaimOutcome, { kind: "claimed" } | { kind: "running" }>
  /** Still running elsewhere when the time was up. */
  | { readonly kind: "running" };

const SEND_WITHIN_MS = 5000;
const JOIN_PAUSE_MS = 120;
const SETTLE_RETRY_MS = 300;
const LONGEST_SETTLE_RETRY_MS = 3000;

/** Name of the role that is home of a journal shard. */
export function getJournalRole(shard: number): string {
  return `journal/${shard}`;
}

/** This VM's side of the journal. */
export class KeyedCalls {
  readonly #options: KeyedCallsOptions;
  readonly #claims = new Map<string, ClaimState>();
  #unsettled = 0;

  constructor(options: KeyedCallsOptions) {
    this.#options = options;
  }

  /** Settlements that are not durable yet. */
  get unsettled(): number {
    return this.#unsettled;
  }

  /** Claims a key, waiting up to `joinMs` for another call of the same key to finish. */
  async claim(
    key: string,
    options: { fingerprint: string; joinMs: number },
  ): Promise<ClaimAnswer> {
    const claimId = crypto.randomUUID();
    const joinUntil = monotonicNow() + options.joinMs;
    for (;;) {
      const askedAt = monotonicNow();
      this.#claims.set(claimId, ClaimState.Claiming);
      const outcome = await this.#ask({
        key,
        claimId,
        fingerprint: options.fingerprint,
      });
      // A probe may have abandoned the claim while its answer was on the way.
      const stands = this.#claims.get(claimId) === ClaimState.Claiming;
      this.#claims.delete(claimId);
      if (outcome.kind === "claimed") {
        if (!stands) return { kind: "unavailable" };
        this.#claims.set(claimId, ClaimState.Running);
        return {
          kind: "held",
          claim: { key, claimId, sendBy: askedAt + SEND_WITHIN_MS },
        };
      }
      if (outcome.kind !== "running") return outcome;
      if (monotonicNow() > joinUntil) return { kind: "running" };
      await sleep(JOIN_PAUSE_MS);
    }
  }

  /** Settles a claim in the background until that is durable. */
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

  /** Answers a home that asks how a claim stands; one that was never confirmed is abandoned. */
  probe(claimId: string): "running" | "over" | "abandoned" {
    const state = this.#claims.get(claimId);
    if (state === ClaimState.Running) return "running";
    if (state === ClaimState.Over) return "over";
    this.#claims.delete(claimId);
    return "abandoned";
  }

  async #ask(
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
        // The home can't be reached; the conditional update lets this VM stand in for it.
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
    let pauseMs = SETTLE_RETRY_MS;
    while (!await this.#trySettle(entry)) {
      await sleep(pauseMs * (0.5 + Math.random()));
      pauseMs = Math.min(LONGEST_SETTLE_RETRY_MS, pauseMs * 2);
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

/** Turns an outcome into its form between VMs. */
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
