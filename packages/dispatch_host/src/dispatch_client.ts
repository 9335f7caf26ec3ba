/**
 * Requests servers from the dispatcher of a model service, on this VM or on a peer, and
 * reports the progress of grants to it. When the dispatcher role moves, queued requests are
 * sent to the new dispatcher and running grants are reported to it.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  encodeHashes,
  type Grant,
  Phase,
  RefusalReason,
  type ReleaseInfo,
  ServerFailure,
  type TokenBatch,
} from "@bitternfall/dispatch";
import type { Membership } from "@bitternfall/membership";
import {
  MAX_AVOIDED,
  MAX_PROMPT_PARTS,
  MAX_RANK,
  MAX_TOKEN_BATCHES,
  type Params,
  PeerError,
  type PeerMesh,
  type Result,
} from "@bitternfall/peer";
import {
  MAX_NAME_LENGTH,
  monotonicNow,
  sleep,
  withTimeout,
} from "@bitternfall/types";
import type { DispatchHost } from "./dispatch_host.ts";
import type { RunningCalls } from "./running_calls.ts";

/** Options of a {@link DispatchClient}. */
export interface DispatchClientOptions {
  readonly vmId: string;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly host: DispatchHost;
  readonly calls: RunningCalls;
}

/** Options of {@link DispatchClient.acquire}. */
export interface AcquireOptions {
  readonly callerSignal: AbortSignal;
  /** Time by which the caller needs an answer, on the clock of the request's deadline. */
  readonly answerBy?: number;
}

/** Delay before an acquire is sent again; the role may be moving to another VM meanwhile. */
const OWNER_RETRY_INTERVAL_MS = 60;
/** Time past the request's deadline in which the dispatcher's refusal can still arrive. */
const ACQUIRE_TIMEOUT_MARGIN_MS = 400;
/** Longest timeout of one acquire call; its retry may use a new connection. */
const MAX_ACQUIRE_TIMEOUT_MS = 1500;
const MAX_ADOPT_ATTEMPTS = 4;
/** Bounds the time by which tokens that are passed on may live longer. */
const TOKEN_CLOCK_TIMEOUT_MS = 300;
/** How long a request waits for a dispatcher after its deadline, and its retry-after then. */
const NO_DISPATCHER_GRACE_MS = 3000;

/** How long a dispatcher that knows no ranks gets none; its VM may be updated meanwhile. */
const UNRANKED_MS = 5000;

/** Returns the name of the dispatcher role of a service. */
export function getDispatcherRole(service: string): string {
  return `dispatch/${service}`;
}

/** Client of the dispatchers, for the requests of this entry VM. */
export class DispatchClient {
  readonly #options: DispatchClientOptions;
  /** The dispatcher to which the running grants of each service were last sent. */
  readonly #owners = new Map<string, string>();
  /** By service, the dispatcher of an older version that rejects ranks and accounts. */
  readonly #unranked = new Map<string, { owner: string; until: number }>();

  constructor(options: DispatchClientOptions) {
    this.#options = options;
  }

  /** Returns the VM that has the dispatcher role of a service, if any. */
  getOwner(service: string): string | undefined {
    return this.#options.membership.getOwner(getDispatcherRole(service));
  }

  /**
   * Requests servers until there is a decision, the caller disconnects or `answerBy` has
   * come. An acquire is idempotent, so it is sent again when the dispatcher role moves or a
   * call fails or times out.
   */
  async acquire(
    service: string,
    req: AcquireRequest,
    options: AcquireOptions,
  ): Promise<Decision> {
    const { callerSignal, answerBy = Infinity } = options;
    const withdraw = () => this.#withdraw(service, req);
    callerSignal.addEventListener("abort", withdraw, { once: true });
    try {
      const relaxedDeadline = req.patience?.relaxedDeadline ?? 0;
      const giveUpAt = Math.min(
        answerBy,
        NO_DISPATCHER_GRACE_MS +
          Math.max(req.deadline, relaxedDeadline, monotonicNow()),
      );
      while (!callerSignal.aborted) {
        const decision = await this.#requestDecision(service, req, giveUpAt);
        if (decision !== undefined && !isMoved(decision)) return decision;
        if (monotonicNow() >= giveUpAt) {
          withdraw();
          return {
            kind: "refusal",
            reason: RefusalReason.NoServers,
            retryAfterMs: NO_DISPATCHER_GRACE_MS,
          };
        }
        await sleep(OWNER_RETRY_INTERVAL_MS, callerSignal);
      }
      return {
        kind: "refusal",
        reason: RefusalReason.Withdrawn,
        retryAfterMs: 0,
      };
    } finally {
      callerSignal.removeEventListener("abort", withdraw);
    }
  }

  /** Reports the end of a grant's prefill. */
  prefilled(service: string, { requestId, attempt }: Grant): void {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === vmId) host.find(service)?.prefilled({ requestId, attempt });
    else if (owner !== undefined) {
      mesh.notify(owner, "prefilled", [service, requestId, attempt]);
    }
  }

  /** Reports the first output of a grant. */
  started(
    service: string,
    grant: Grant,
    result: { cachedTokens: number; transferMs: number },
  ): void {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === vmId) return host.find(service)?.started(grant, result);
    if (owner === undefined) return;
    const { requestId, attempt } = grant;
    const { cachedTokens, transferMs } = result;
    mesh.notify(owner, "started", [
      service,
      requestId,
      attempt,
      cachedTokens,
      Math.round(transferMs),
    ]);
  }

  /** Reports the end of a grant, which frees its servers. */
  release(service: string, grant: Grant, info: ReleaseInfo): void {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === vmId) return host.find(service)?.release(grant, info);
    if (owner === undefined) return;
    const { requestId, attempt } = grant;
    const { outputTokens, intervalMs, failedServer = "" } = info;
    const { failure = ServerFailure.Down } = info;
    mesh.notify(owner, "release", [
      service,
      requestId,
      attempt,
      outputTokens,
      Math.round(intervalMs * 10) / 10,
      failedServer,
      failure,
    ]);
  }

  /** Reports the requests a second that a server takes, or that it names no limit. */
  reportServerLimit(
    service: string,
    serverId: string,
    requestsPerSecond: number | undefined,
  ): void {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === vmId) {
      const server = { id: serverId, requestsPerSecond };
      return host.setServerLimit(service, server);
    }
    if (owner === undefined) return;
    mesh.notify(owner, "limits.named", [
      service,
      serverId,
      requestsPerSecond ?? null,
    ]);
  }

  /** Passes retry tokens on to the dispatcher. Where there is none, they are lost. */
  passRetryTokens(service: string, batches: readonly TokenBatch[]): void {
    const { vmId, host } = this.#options;
    const owner = this.getOwner(service);
    if (owner === undefined || batches.length === 0) return;
    if (owner === vmId) return host.find(service)?.addRetryTokens(batches);
    void this.#sendRetryTokens(service, { owner, batches });
  }

  /** Reports the running grants of this VM to each dispatcher that is new in its role. */
  onMembershipChange(services: Iterable<string>): void {
    for (const service of services) {
      const owner = this.getOwner(service);
      if (owner === undefined || owner === this.#owners.get(service)) continue;
      this.#owners.set(service, owner);
      void this.#sendGrants(service, owner);
    }
  }

  /**
   * Reports the running grants of this VM to all remote dispatchers, even where there are
   * none, for dispatchers that can't call this VM to verify its grants.
   */
  async reportGrants(services: Iterable<string>): Promise<void> {
    for (const service of services) {
      const owner = this.getOwner(service);
      if (owner === undefined || owner === this.#options.vmId) continue;
      await this.#sendGrants(service, owner, { sendsEmptyList: true });
    }
  }

  async #sendGrants(
    service: string,
    owner: string,
    { sendsEmptyList = false } = {},
  ): Promise<void> {
    const { vmId, host, mesh, calls } = this.#options;
    for (let attempts = 0; attempts < MAX_ADOPT_ATTEMPTS; attempts++) {
      const running = calls.listGrants(service);
      if (running.length === 0 && !sendsEmptyList) return;
      if (owner === vmId) {
        for (const { grant, phase } of running) {
          host.find(service)?.adopt({ ...grant, phase });
        }
        return;
      }
      const grants = running.map(({ grant, phase }): WireGrant => [
        grant.requestId,
        grant.attempt,
        grant.workspace,
        grant.prefill,
        grant.decode,
        PHASE_BY_CODE.indexOf(phase),
        grant.promptTokens,
        grant.maxTokens,
        grant.heldTokens,
      ]);
      try {
        await mesh.call(owner, "adopt", {
          params: [service, vmId, grants],
        });
        return;
      } catch {
        await sleep(OWNER_RETRY_INTERVAL_MS * 4);
      }
      if (this.#owners.get(service) !== owner) return;
    }
  }

  /**
   * Sends tokens with their expiry on the receiver's clock, so that a message that arrives
   * late does not lengthen their lives.
   */
  async #sendRetryTokens(
    service: string,
    options: { owner: string; batches: readonly TokenBatch[] },
  ): Promise<void> {
    const { mesh } = this.#options;
    const { owner, batches } = options;
    const askedAt = monotonicNow();
    let clock: Result<"dispatch.tokenClock">;
    try {
      clock = await mesh.call(owner, "dispatch.tokenClock", {
        params: [service],
        timeoutMs: TOKEN_CLOCK_TIMEOUT_MS,
      });
    } catch {
      // The tokens are lost, as they are where there is no dispatcher.
      return;
    }
    if (clock === null) return;
    const [poolId, now] = clock;
    mesh.notify(owner, "dispatch.tokens", [
      service,
      poolId,
      batches.slice(0, MAX_TOKEN_BATCHES).map(({ count, expiresAt }) => [
        Math.floor(count * 1000) / 1000,
        Math.floor(now + expiresAt - askedAt),
      ]),
    ]);
  }

  async #requestDecision(
    service: string,
    req: AcquireRequest,
    giveUpAt: number,
  ): Promise<Decision | undefined> {
    const { vmId, host } = this.#options;
    const owner = this.getOwner(service);
    if (owner === undefined) return undefined;
    const untilGivingUpMs = Math.max(0, giveUpAt - monotonicNow());
    if (owner === vmId) {
      return await withTimeout(host.acquire(service, req), {
        ms: untilGivingUpMs,
        fallback: undefined,
      });
    }
    const remainingMs = req.deadline - monotonicNow();
    const relaxedRemainingMs = (req.patience?.relaxedDeadline ?? 0) -
      monotonicNow();
    try {
      const encode = (ranked: RankParams): Params<"acquire"> => [
        service,
        req.requestId,
        req.attempt,
        req.workspace.slice(0, MAX_NAME_LENGTH),
        vmId,
        req.priority,
        req.promptTokens,
        req.outputTokens,
        req.maxTokens,
        Math.round(remainingMs),
        encodeHashes(req.hashes),
        req.avoid.slice(0, MAX_AVOIDED),
        req.heldTokens ?? 0,
        Math.round(req.patience?.remainingMs ?? 0),
        Math.round(relaxedRemainingMs),
        req.prefilledBy ?? "",
        req.retriedCalls ?? 0,
        encodeHashes(req.parts?.slice(0, MAX_PROMPT_PARTS) ?? []),
        req.softwareVersion ?? null,
        req.resumedStreamId ?? null,
        ...ranked,
      ];
      const result = await this.#sendAcquire(service, {
        owner,
        encode,
        ranked: encodeRank(req),
        timeoutMs: Math.min(
          MAX_ACQUIRE_TIMEOUT_MS,
          untilGivingUpMs,
          Math.max(0, remainingMs, relaxedRemainingMs) +
            ACQUIRE_TIMEOUT_MARGIN_MS,
        ),
      });
      return decodeDecision(result, { ...req, owner: vmId });
    } catch {
      return undefined;
    }
  }

  /** Sends an acquire, without rank and account to a dispatcher that rejects them. */
  async #sendAcquire(
    service: string,
    options: {
      owner: string;
      encode: (ranked: RankParams) => Params<"acquire">;
      ranked: RankParams;
      timeoutMs: number;
    },
  ): Promise<Result<"acquire">> {
    const { mesh } = this.#options;
    const { owner, encode, ranked, timeoutMs } = options;
    const known = this.#unranked.get(service);
    const isUnranked = known?.owner === owner && monotonicNow() < known.until;
    if (ranked.length > 0 && !isUnranked) {
      try {
        const params = encode(ranked);
        return await mesh.call(owner, "acquire", { params, timeoutMs });
      } catch (err) {
        const isRejected = err instanceof PeerError &&
          err.detail.tag === "rejected_params";
        if (!isRejected) throw err;
        const until = monotonicNow() + UNRANKED_MS;
        this.#unranked.set(service, { owner, until });
      }
    }
    return await mesh.call(owner, "acquire", { params: encode([]), timeoutMs });
  }

  #withdraw(service: string, req: AcquireRequest): void {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === vmId) host.find(service)?.withdraw(req);
    else if (owner !== undefined) {
      mesh.notify(owner, "withdraw", [
        service,
        req.requestId,
        req.attempt,
      ]);
    }
  }
}

/** Last parameters of the peer method `acquire`, which older versions reject. */
type RankParams = [] | [rank: number, account: string | null];

/** A running grant as the peer method `adopt` carries it. */
type WireGrant = [
  string,
  number,
  string,
  string,
  string,
  number,
  number,
  number,
  number,
];

/** Phases by their code in a {@link WireGrant}. */
const PHASE_BY_CODE = [Phase.Prefill, Phase.Decode];

/** Decodes the grants that an entry VM reported. */
export function decodeGrants(
  owner: string,
  grants: readonly WireGrant[],
): (Grant & { phase: Phase })[] {
  return grants.map(
    (
      [
        requestId,
        attempt,
        workspace,
        prefill,
        decode,
        phase,
        promptTokens,
        maxTokens,
        heldTokens,
      ],
    ) => ({
      requestId,
      attempt,
      workspace,
      owner,
      prefill,
      decode,
      phase: PHASE_BY_CODE[phase] ?? Phase.Decode,
      promptTokens,
      maxTokens,
      heldTokens,
    }),
  );
}

/**
 * Encodes rank and account; nothing where the defaults hold, which VMs of the version before
 * accept, too.
 */
function encodeRank(
  { rank = 0, account }: AcquireRequest,
): RankParams {
  if (rank === 0 && account === undefined) return [];
  return [
    Math.min(MAX_RANK, rank),
    account?.slice(0, MAX_NAME_LENGTH) ?? null,
  ];
}

/** Encodes a decision as the result of the peer method `acquire`. */
export function encodeDecision(decision: Decision): Result<"acquire"> {
  if (decision.kind === "refusal") {
    const { reason, retryAfterMs, spillTo = "" } = decision;
    return ["r", reason, retryAfterMs, spillTo];
  }
  const { prefill, decode, prefillAddress, decodeAddress, decodeVersion } =
    decision.grant;
  return [
    "g",
    prefill,
    decode,
    prefillAddress ?? "",
    decodeAddress ?? "",
    decodeVersion ?? null,
  ];
}

function decodeDecision(
  result: Result<"acquire">,
  req: AcquireRequest,
): Decision {
  if (result[0] === "r") {
    return {
      kind: "refusal",
      reason: result[1] as RefusalReason,
      retryAfterMs: result[2],
      spillTo: result[3] === "" ? undefined : result[3],
    };
  }
  const [, prefill, decode, prefillAddress, decodeAddress, decodeVersion] =
    result;
  const { requestId, attempt, workspace, owner, maxTokens } = req;
  const { heldTokens = 0 } = req;
  const promptTokens = req.promptTokens + req.outputTokens;
  const grant = {
    requestId,
    attempt,
    workspace,
    owner,
    prefill,
    decode,
    promptTokens,
    maxTokens,
    heldTokens,
    prefillAddress: prefillAddress === "" ? undefined : prefillAddress,
    decodeAddress: decodeAddress === "" ? undefined : decodeAddress,
    decodeVersion: decodeVersion ?? undefined,
  };
  return { kind: "grant", grant };
}

function isMoved(decision: Decision): boolean {
  return decision.kind === "refusal" && decision.reason === RefusalReason.Moved;
}
