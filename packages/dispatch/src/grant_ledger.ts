/**
 * Running grants of one service: what they reserve at their servers, and the estimates
 * updated from their progress. All state is soft: a new dispatcher adopts the grants from
 * their owners.
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
import type { LoadProfile } from "./load_profile.ts";
import type { PredictionError } from "./prediction_error.ts";
import { recordSuccess, ServerFailure } from "./server_health.ts";
import type { ServerPools } from "./server_pools.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** Result of a grant, reported when it ends. */
export interface ReleaseInfo {
  readonly outputTokens: number;
  /** Mean time between outputs; 0 when unknown. */
  readonly intervalMs: number;
  /** Server that failed the request, if any, and the kind of failure. */
  readonly failedServer?: string | undefined;
  readonly failure?: ServerFailure | undefined;
}

/** Options of a {@link GrantLedger}. */
export interface GrantLedgerOptions {
  readonly pools: ServerPools;
  readonly workspaces: WorkspaceCounts;
  readonly predictionErrors: PredictionError;
  readonly load: LoadProfile;
}

/** Key of one attempt at a request. */
export function getAttemptKey(id: AttemptId): string {
  return `${id.requestId}.${id.attempt}`;
}

/** Tracks the running grants of a service. */
export class GrantLedger {
  readonly #grants = new Map<string, GrantState>();
  readonly #pools: ServerPools;
  readonly #workspaces: WorkspaceCounts;
  readonly #predictionErrors: PredictionError;
  readonly #load: LoadProfile;

  constructor(options: GrantLedgerOptions) {
    this.#pools = options.pools;
    this.#workspaces = options.workspaces;
    this.#predictionErrors = options.predictionErrors;
    this.#load = options.load;
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
  listByOwner(owner: string): GrantState[] {
    return [...this.#grants.values()].filter((grant) => grant.owner === owner);
  }

  /** Creates a grant and reserves what it needs at its servers. */
  grant(
    req: AcquireRequest,
    options: {
      placement: Placement;
      servers: readonly ServerDeclaration[];
      now: number;
    },
  ): GrantState {
    const { placement, servers, now } = options;
    const find = (id: string) => servers.find((server) => server.id === id);
    const decode = find(placement.decode);
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
      isAdopted: false,
      uncachedTokens: placement.uncachedTokens,
      hashes: req.hashes,
      parts: req.parts,
      streamId: req.resumedStreamId || req.requestId,
      prefillEndAt: placement.prefillEndAt,
      isPrefilled: req.prefilledBy !== undefined,
      decodeStartedAt: now,
      firstOutputAt: placement.firstOutputAt,
      verifiedAt: now,
      prefillAddress: find(placement.prefill)?.address,
      decodeAddress: decode?.address,
      decodeVersion: decode?.softwareVersion,
      heldTokens: req.heldTokens ?? 0,
      batchSizeAtStart: 0,
    };
    this.#insert(grant);
    this.#load.recordGrant(now);
    if (grant.prefill !== NO_PREFILL) {
      this.#pools.prefixes.store(grant.prefill, req.hashes);
    }
    return grant;
  }

  /** Adopts a grant of an earlier dispatcher, as reported by its entry VM. */
  adopt(grant: Grant & { phase: Phase }, now: number): void {
    if (this.find(grant) !== undefined) return;
    this.#insert({
      ...grant,
      grantedAt: now,
      isAdopted: true,
      uncachedTokens: 0,
      hashes: [],
      streamId: grant.requestId,
      prefillEndAt: now,
      isPrefilled: false,
      decodeStartedAt: now,
      firstOutputAt: now,
      verifiedAt: now,
      batchSizeAtStart: 0,
    });
  }

  /** Records the end of a grant's prefill, reported before its first output. */
  prefilled(grant: GrantState, now: number): void {
    if (grant.isPrefilled) return;
    this.#endPrefill(grant, { endAt: now, processed: grant.uncachedTokens });
    const server = this.#pools.prefills.servers.get(grant.prefill);
    if (server !== undefined) recordSuccess(server);
  }

  /** Records the first output of a grant, which ends its prefill and KV cache transfer. */
  started(
    grant: GrantState,
    result: { cachedTokens: number; transferMs: number; now: number },
  ): void {
    if (grant.phase === Phase.Decode) return;
    const { cachedTokens, transferMs, now } = result;
    const endAt = now - transferMs;
    const processed = Math.max(0, grant.promptTokens - cachedTokens);
    this.#endPrefill(grant, { endAt, processed });
    this.#predictionErrors.add(now - grant.firstOutputAt);
    if (grant.prefill !== NO_PREFILL) {
      this.#recordTransfer(grant, { now, transferMs });
    }
    const { decodes } = this.#pools;
    const decode = decodes.servers.get(grant.decode);
    decodes.startDecoding(grant, now);
    if (decode !== undefined) {
      decodes.recordDecodingCount(decode, now);
      recordSuccess(decode);
    }
    grant.decodeStartedAt = now;
    grant.batchSizeAtStart = decode?.grants.size ?? 0;
  }

  /** Ends a grant, records its failure if any, and updates the estimates. */
  release(grant: GrantState, info: ReleaseInfo & { now: number }): void {
    const { now, failedServer, failure = ServerFailure.Down } = info;
    this.remove(grant, now);
    if (failedServer !== undefined) {
      this.#pools.recordFailure(failedServer, { kind: failure, now });
    }
    const { decodes } = this.#pools;
    const decode = decodes.servers.get(grant.decode);
    if (info.outputTokens === 0 || grant.phase !== Phase.Decode) return;
    const holdMs = grant.isAdopted ? undefined : now - grant.grantedAt;
    if (holdMs !== undefined) {
      this.#load.recordRun({
        promptTokens: grant.promptTokens,
        outputTokens: info.outputTokens * decodes.tokensPerOutput,
        holdMs,
      });
    }
    decodes.recordRun(decode, {
      workspace: grant.workspace,
      tokens: info.outputTokens,
      intervalMs: info.intervalMs,
      holdMs,
      batch: Math.max(grant.batchSizeAtStart, (decode?.grants.size ?? 0) + 1),
      now,
    });
  }

  /** Removes a grant and frees what it reserved. */
  remove(grant: GrantState, now: number): void {
    this.#grants.delete(getAttemptKey(grant));
    this.#workspaces.add(grant.workspace, -1);
    this.#endPrefill(grant, { endAt: now, processed: undefined });
    const { decodes } = this.#pools;
    const decode = decodes.servers.get(grant.decode);
    if (decode === undefined) return;
    decodes.removeGrant(decode, grant, now);
    decodes.recordDecodingCount(decode, now);
  }

  #reservePrefill(
    req: AcquireRequest,
    { placement, now }: { placement: Placement; now: number },
  ): void {
    const { prefills } = this.#pools;
    const prefill = prefills.servers.get(placement.prefill);
    if (prefill === undefined) return;
    if (req.prefilledBy === undefined) {
      prefills.reservePrefill(prefill, {
        tokens: placement.uncachedTokens,
        now,
      });
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

  /** Ends a prefill; it succeeded if `processed` is defined. */
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
    prefills.finishPrefill(server, { ...end, reserved, grantedAt });
  }

  #recordTransfer(
    grant: GrantState,
    { now, transferMs }: { now: number; transferMs: number },
  ): void {
    const { prefills, decodes } = this.#pools;
    prefills.recordTransfer({
      tokens: grant.promptTokens,
      ms: Math.max(0, transferMs - decodes.intervalMs),
      concurrentTransfers: this.#countTransfers(grant.prefill, now),
    });
  }

  /** Estimated number of concurrent KV cache transfers from a prefill server. */
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
