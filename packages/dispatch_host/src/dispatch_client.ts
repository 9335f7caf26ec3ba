/**
 * Asks the dispatcher of a model service for servers, whichever VM it is, and tells it
 * how grants go on. When the role moves, queued requests and running grants follow.
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
} from "@bitternfall/dispatch";
import type { Membership } from "@bitternfall/membership";
import { MAX_AVOIDED, type PeerMesh, type Result } from "@bitternfall/peer";
import { monotonicNow, sleep } from "@bitternfall/types";
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

const RETRY_MS = 60;
const CALL_GRACE_MS = 400;
/** How often an unanswered acquire is asked again over a possibly new connection. */
const ASK_AGAIN_MS = 1500;
const ADOPT_TRIES = 4;
/** How long a request without any dispatcher waits past its target. */
const NO_DISPATCHER_MS = 3000;

/** Name of the dispatcher role of a service. */
export function getDispatcherRole(service: string): string {
  return `dispatch/${service}`;
}

/** The entry VM's side of dispatching. */
export class DispatchClient {
  readonly #options: DispatchClientOptions;
  readonly #owners = new Map<string, string>();

  constructor(options: DispatchClientOptions) {
    this.#options = options;
  }

  /** The VM that dispatches a service now. */
  getOwner(service: string): string | undefined {
    return this.#options.membership.getOwner(getDispatcherRole(service));
  }

  /**
   * Asks for servers until there is a decision or the caller goes away. The request is
   * idempotent, so it is asked again when the dispatcher moves or falls silent.
   */
  async acquire(
    service: string,
    req: AcquireRequest,
    gone: AbortSignal,
  ): Promise<Decision> {
    const withdraw = () => this.#withdraw(service, req);
    gone.addEventListener("abort", withdraw, { once: true });
    try {
      const relaxedDeadline = req.patience?.relaxedDeadline ?? 0;
      const giveUpAt = NO_DISPATCHER_MS +
        Math.max(req.deadline, relaxedDeadline, monotonicNow());
      while (!gone.aborted) {
        const decision = await this.#ask(service, req);
        if (decision !== undefined && !isMoved(decision)) return decision;
        if (monotonicNow() > giveUpAt) {
          return {
            kind: "refusal",
            reason: RefusalReason.NoServers,
            retryAfterMs: NO_DISPATCHER_MS,
          };
        }
        await sleep(RETRY_MS, gone);
      }
      return {
        kind: "refusal",
        reason: RefusalReason.Withdrawn,
        retryAfterMs: 0,
      };
    } finally {
      gone.removeEventListener("abort", withdraw);
    }
  }

  /** The prefill of a grant is over. */
  prefilled(service: string, { requestId, attempt }: Grant): void {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === vmId) host.find(service)?.prefilled({ requestId, attempt });
    else if (owner !== undefined) {
      mesh.notify(owner, "prefilled", [service, requestId, attempt]);
    }
  }

  /** The first output of a grant was seen. */
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

  /** A grant is over. */
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

  /** Roles may have moved: new dispatchers are told of the grants that run here. */
  onMembershipChange(services: Iterable<string>): void {
    for (const service of services) {
      const owner = this.getOwner(service);
      if (owner === undefined || owner === this.#owners.get(service)) continue;
      this.#owners.set(service, owner);
      void this.#handOver(service, owner);
    }
  }

  /** Tells the dispatchers which grants run here, for those that can't ask. */
  async claim(services: Iterable<string>): Promise<void> {
    for (const service of services) {
      const owner = this.getOwner(service);
      if (owner === undefined || owner === this.#options.vmId) continue;
      await this.#handOver(service, owner, { evenNone: true });
    }
  }

  async #handOver(
    service: string,
    owner: string,
    { evenNone = false } = {},
  ): Promise<void> {
    const { vmId, host, mesh, calls } = this.#options;
    for (let tries = 0; tries < ADOPT_TRIES; tries++) {
      const running = calls.listGrants(service);
      if (running.length === 0 && !evenNone) return;
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
        PHASES.indexOf(phase),
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
        await sleep(RETRY_MS * 4);
      }
      if (this.#owners.get(service) !== owner) return;
    }
  }

  async #ask(
    service: string,
    req: AcquireRequest,
  ): Promise<Decision | undefined> {
    const { vmId, host, mesh } = this.#options;
    const owner = this.getOwner(service);
    if (owner === undefined) return undefined;
    if (owner === vmId) return await host.acquire(service, req);
    const left = req.deadline - monotonicNow();
    const lateLeft = (req.patience?.relaxedDeadline ?? 0) - monotonicNow();
    try {
      const result = await mesh.call(owner, "acquire", {
        params: [
          service,
          req.requestId,
          req.attempt,
          req.workspace,
          vmId,
          req.priority,
          req.promptTokens,
          req.outputTokens,
          req.maxTokens,
          Math.round(left),
          encodeHashes(req.hashes),
          req.avoid.slice(0, MAX_AVOIDED),
          req.heldTokens ?? 0,
          Math.round(req.patience?.remainingMs ?? 0),
          Math.round(lateLeft),
          req.prefilledBy ?? "",
          req.retriedCalls ?? 0,
        ],
        timeoutMs: Math.min(
          ASK_AGAIN_MS,
          Math.max(0, left, lateLeft) + CALL_GRACE_MS,
        ),
      });
      return decodeDecision(result, { ...req, owner: vmId });
    } catch {
      return undefined;
    }
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

const PHASES = [Phase.Prefill, Phase.Decode];

/** Turns grants of an entry VM into the dispatcher's form. */
export function fromWireGrants(
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
      phase: PHASES[phase] ?? Phase.Decode,
      promptTokens,
      maxTokens,
      heldTokens,
    }),
  );
}

/** Turns a decision into its form between VMs. */
export function encodeDecision(decision: Decision): Result<"acquire"> {
  if (decision.kind === "refusal") {
    const { reason, retryAfterMs, spillTo = "" } = decision;
    return ["r", reason, retryAfterMs, spillTo];
  }
  const { prefill, decode, prefillAddress, decodeAddress } = decision.grant;
  return ["g", prefill, decode, prefillAddress ?? "", decodeAddress ?? ""];
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
  const [, prefill, decode, prefillAddress, decodeAddress] = result;
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
  };
  return { kind: "grant", grant };
}

function isMoved(decision: Decision): boolean {
  return decision.kind === "refusal" && decision.reason === RefusalReason.Moved;
}
