/**
 * Running grants of one service: what they hold at their servers, and what is learnt
 * from how they go on. All of it is soft: a new dispatcher adopts them from their owners.
 * @module
 */
import {
  type AcquireRequest,
  type AttemptId,
  type Grant,
  type GrantState,
  NO_PREFILL,
  Phase,
  type Placement,
  type ServerDeclaration,
} from "./model.ts";
import type { PredictionError } from "./prediction_error.ts";
import { noteSuccess, ServerFailure } from "./server_health.ts";
import type { ServerPools } from "./server_pools.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** What is known when a grant ends. */
export interface ReleaseInfo {
  readonly outputTokens: number;
  /** Mean time between outputs; 0 when unknown. */
  readonly intervalMs: number;
  /** A server that failed the request, if any, and how. */
  readonly failedServer?: string | undefined;
  readonly failure?: ServerFailure | undefined;
}

/** Options of a {@link GrantLedger}. */
export interface GrantLedgerOptions {
  readonly pools: ServerPools;
  readonly workspaces: WorkspaceCounts;
  readonly errors: PredictionError;
}

/** Key of one attempt at a request. */
export function getAttemptKey(id: AttemptId): string {
  return `${id.requestId}.${id.attempt}`;
}

/** The grants of a service. */
export class GrantLedger {
  readonly #grants = new Map<string, GrantState>();
  readonly #pools: ServerPools;
  readonly #workspaces: WorkspaceCounts;
  readonly #errors: PredictionError;

  constructor(options: GrantLedgerOptions) {
    this.#pools = options.pools;
    this.#workspaces = options.workspaces;
    this.#errors = options.errors;
  }

  get size(): number {
    return this.#grants.size;
  }

  list(): Iterable<GrantState> {
    return this.#grants.values();
  }

  find(id: AttemptId): GrantState | undefined {
    return this.#grants.get(getAttemptKey(id));
  }

  /** Grants of one owner. */
  listOf(owner: string): GrantState[] {
    return [...this.#grants.values()].filter((grant) => grant.owner === owner);
  }

  /** Takes what a request needs of its servers. */
  grant(
    req: AcquireRequest,
    options: {
      placement: Placement;
      servers: readonly ServerDeclaration[];
      now: number;
    },
  ): GrantState {
    const { placement, servers, now } = options;
    const findAddress = (id: string) =>
      servers.find((server) => server.id === id)?.address;
    this.#reservePrefill(req, { placement, now });
    const grant: GrantState = {
      requestId: req.requestId,
      attempt: req.attempt,
      workspace: req.workspace,
      owner: req.owner,
      prefill: placement.prefill,
      decode: placement.decode,
      promptTokens: req.promptTokens + req.outputTokens,
      maxTokens: req.maxTokens,
      phase: Phase.Prefill,
      grantedAt: now,
      uncachedTokens: placement.uncachedTokens,
      hashes: req.hashes,
      prefillEndAt: placement.prefillEndAt,
      isPrefilled: req.prefilledBy !== undefined,
      decodeStartedAt: now,
      firstOutputAt: placement.firstOutputAt,
      verifiedAt: now,
      prefillAddress: findAddress(placement.prefill),
      decodeAddress: findAddress(placement.decode),
      heldTokens: req.heldTokens ?? 0,
      batchAtStart: 0,
    };
    this.#insert(grant);
    if (grant.prefill !== NO_PREFILL) {
      this.#pools.prefixes.store(grant.prefill, req.hashes);
    }
    return grant;
  }

  /** Takes over a grant of an earlier dispatcher, as its entry VM reports it. */
  adopt(grant: Grant & { phase: Phase }, now: number): void {
    if (this.find(grant) !== undefined) return;
    this.#insert({
      ...grant,
      grantedAt: now,
      uncachedTokens: 0,
      hashes: [],
      prefillEndAt: now,
      isPrefilled: false,
      decodeStartedAt: now,
      firstOutputAt: now,
      verifiedAt: now,
      batchAtStart: 0,
    });
  }

  /** The prefill of a grant is over, before its first output is seen. */
  prefilled(grant: GrantState, now: number): void {
    if (grant.isPrefilled) return;
    this.#endPrefill(grant, { endAt: now, processed: grant.uncachedTokens });
    const server = this.#pools.prefills.servers.get(grant.prefill);
    if (server !== undefined) noteSuccess(server);
  }

  /** The first output of a grant was seen, so both its prefill and its transfer are over. */
  started(
    grant: GrantState,
    result: { cachedTokens: number; transferMs: number; now: number },
  ): void {
    if (grant.phase === Phase.Decode) return;
    const { cachedTokens, transferMs, now } = result;
    const endAt = now - transferMs;
    const processed = Math.max(0, grant.promptTokens - cachedTokens);
    this.#endPrefill(grant, { endAt, processed });
    this.#errors.add(now - grant.firstOutputAt);
    if (grant.prefill !== NO_PREFILL) {
      this.#learnTransfer(grant, { now, transferMs });
    }
    grant.phase = Phase.Decode;
    grant.decodeStartedAt = now;
    const { decodes } = this.#pools;
    const decode = decodes.servers.get(grant.decode);
    if (decode !== undefined) {
      decodes.noteCount(decode, now);
      noteSuccess(decode);
    }
    grant.batchAtStart = decode?.grants.size ?? 0;
  }

  /** A grant is over. */
  release(grant: GrantState, info: ReleaseInfo & { now: number }): void {
    const { now, failedServer, failure = ServerFailure.Down } = info;
    this.remove(grant, now);
    if (failedServer !== undefined) {
      this.#pools.noteFailure(failedServer, { kind: failure, now });
    }
    const { decodes } = this.#pools;
    const decode = decodes.servers.get(grant.decode);
    if (info.outputTokens === 0 || grant.phase !== Phase.Decode) return;
    decodes.learn(decode, {
      workspace: grant.workspace,
      tokens: info.outputTokens,
      intervalMs: info.intervalMs,
      holdMs: now - grant.grantedAt,
      batch: Math.max(grant.batchAtStart, (decode?.grants.size ?? 0) + 1),
      now,
    });
  }

  /** Gives back what a grant holds. */
  remove(grant: GrantState, now: number): void {
    this.#grants.delete(getAttemptKey(grant));
    this.#workspaces.add(grant.workspace, -1);
    this.#endPrefill(grant, { endAt: now, processed: undefined });
    const { decodes } = this.#pools;
    const decode = decodes.servers.get(grant.decode);
    if (decode === undefined) return;
    decodes.removeGrant(decode, grant);
    decodes.noteCount(decode, now);
  }

  #reservePrefill(
    req: AcquireRequest,
    { placement, now }: { placement: Placement; now: number },
  ): void {
    const { prefills } = this.#pools;
    const prefill = prefills.servers.get(placement.prefill);
    if (prefill === undefined) return;
    if (req.prefilledBy === undefined) {
      prefills.reserve(prefill, { tokens: placement.uncachedTokens, now });
    }
    prefills.reserveTransfer(prefill, {
      tokens: req.promptTokens + req.outputTokens,
      readyAt: placement.prefillEndAt,
    });
  }

  #insert(grant: GrantState): void {
    this.#grants.set(getAttemptKey(grant), grant);
    this.#workspaces.add(grant.workspace, 1);
    this.#pools.decodes.addGrant(grant);
  }

  /** Ends a prefill, successfully where `processed` tokens are known. */
  #endPrefill(
    grant: GrantState,
    end: { endAt: number; processed: number | undefined },
  ): void {
    if (grant.phase !== Phase.Prefill || grant.isPrefilled) return;
    grant.isPrefilled = true;
    const { prefills } = this.#pools;
    const server = prefills.servers.get(grant.prefill);
    if (server === undefined) return;
    const { uncachedTokens: reserved, grantedAt } = grant;
    prefills.finish(server, { ...end, reserved, grantedAt });
  }

  #learnTransfer(
    grant: GrantState,
    { now, transferMs }: { now: number; transferMs: number },
  ): void {
    const { prefills, decodes } = this.#pools;
    prefills.learnTransfer({
      tokens: grant.promptTokens,
      ms: Math.max(0, transferMs - decodes.intervalMs),
      sharers: this.#countTransfers(grant.prefill, now),
    });
  }

  /** Transfers that a prefill server probably has under way. */
  #countTransfers(prefill: string, now: number): number {
    let count = 1;
    for (const grant of this.#grants.values()) {
      const isTransfer = grant.phase === Phase.Prefill &&
        grant.prefillEndAt < now;
      if (isTransfer && grant.prefill === prefill) count++;
    }
    return count;
  }
}
