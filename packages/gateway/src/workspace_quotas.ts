/**
 * Charges requests to the quotas of their workspaces: connects this VM's accounts and the
 * issuer on it with the other VMs, the configuration and the requests.
 * @module
 */
import { QuotaUnit, type Workspace } from "@bitternfall/access";
import type { EventLog } from "@bitternfall/events";
import { pickOwner } from "@bitternfall/membership";
import type { Params, Result } from "@bitternfall/peer";
import {
  NOT_ISSUER,
  type QuotaBound,
  QuotaClient,
  QuotaIssuer,
  type QuotaReply,
  type QuotaRequest,
  type QuotaResult,
  REACH_MS,
  TAKE_TIMEOUT_MS,
} from "@bitternfall/quota";
import {
  type Clock,
  ClockJumpDetector,
  monotonicNow,
} from "@bitternfall/types";
import {
  type CallerResponse,
  NOT_EXECUTED_STATUSES,
} from "./caller_response.ts";
import type { GatewayConfig, GatewayRequest } from "./model.ts";
import type { PeerGroup } from "./peer_group.ts";
import type { CallOutcome } from "./plain_call.ts";
import type { GatewaySettings } from "./settings.ts";
import type { SharedLimits } from "./shared_limits.ts";

/** Options of {@link WorkspaceQuotas}. */
export interface WorkspaceQuotasOptions {
  readonly settings: Pick<GatewaySettings, "vm" | "quota">;
  readonly peers: Pick<PeerGroup, "membership" | "mesh">;
  readonly limits: Pick<SharedLimits, "vmCount">;
  readonly log: Pick<EventLog, "count" | "gauge">;
  readonly now?: Clock;
  /** The system time, which counts a suspension. */
  readonly wall?: Clock;
}

/** Workspaces with metrics of their own; the others share one label. */
const MAX_LABELS = 24;
const OTHER_LABEL = "other";
const MS_PER_S = 1000;

/** Returns the name of the issuer's role for a workspace. */
export function getQuotaRole(workspace: string): string {
  return `quota/${workspace}`;
}

/** Quotas of the workspaces at one VM. */
export class WorkspaceQuotas {
  readonly #options: WorkspaceQuotasOptions;
  readonly #now: Clock;
  readonly #clockJumps: ClockJumpDetector;
  readonly #issuer: QuotaIssuer;
  readonly #client: QuotaClient;
  #labels: ReadonlySet<string> = new Set();
  /** VMs that may issue, as of the last change of members. */
  #eligible: readonly string[] = [];
  /** Issuers by workspace; to pick one takes longer than all else of a decision. */
  readonly #issuers = new Map<string, string>();

  constructor(options: WorkspaceQuotasOptions) {
    const { settings: { vm, quota }, now = monotonicNow } = options;
    this.#options = options;
    this.#now = now;
    this.#clockJumps = new ClockJumpDetector({ now, wall: options.wall });
    const bound: QuotaBound = {
      windowMs: quota.windowSeconds * MS_PER_S,
      tolerance: quota.tolerance,
      slack: quota.slack,
    };
    this.#issuer = new QuotaIssuer({
      bound,
      now,
      isIssuer: (workspace) => this.#getIssuer(workspace) === vm.id,
      getReachableShare: () => this.#getReachableShare(),
    });
    this.#client = new QuotaClient({
      bound,
      now,
      getIssuer: (workspace) => this.#getIssuer(workspace),
      schedule: (ms, run) => void setTimeout(run, ms).unref(),
      getVmCount: () => options.limits.vmCount ?? Infinity,
      send: (issuer, id, requests) => this.#send(issuer, id, requests),
    });
  }

  /** Applies the quotas of a configuration. */
  applyConfig({ workspaces = [] }: GatewayConfig): void {
    const limits = new Map(
      workspaces.flatMap(({ name, quota }) =>
        quota === undefined ? [] : [[name, quota]]
      ),
    );
    this.#issuers.clear();
    this.#labels = new Set([...limits.keys()].slice(0, MAX_LABELS));
    this.#issuer.setLimits(limits);
    this.#client.setLimits(limits);
  }

  /** Call when owners of roles may have changed. */
  sync(): void {
    const eligible = this.#options.peers.membership.listEligibleOwners();
    if (eligible.join() === this.#eligible.join()) return;
    this.#eligible = eligible;
    this.#issuers.clear();
    this.#issuer.sync();
  }

  /**
   * Call when the wall clock has jumped against the monotonic clock, which does not count a
   * suspension: leases may have ended. Balances of issuers are kept, since they did not grow
   * meanwhile. A suspension never sets the wall clock back.
   */
  onClockJump(jumpMs: number): void {
    if (jumpMs > 0) this.#client.voidLeases();
  }

  /** Answers the message of another VM. */
  take([vm, messageId, requests]: Params<"quota.take">): Result<"quota.take"> {
    this.#checkClock();
    const replies = this.#issuer.take(vm, messageId, requests);
    for (const [workspace] of requests) {
      const balance = this.#issuer.getBalance(workspace);
      if (balance === undefined || !this.#labels.has(workspace)) continue;
      this.#options.log.gauge("quota_balance", balance, { workspace });
    }
    return replies;
  }

  /** Takes a request's cost and then serves it, or refuses it. */
  async charge(
    req: GatewayRequest,
    callerResponse: CallerResponse,
    serve: () => Promise<CallOutcome>,
  ): Promise<CallOutcome> {
    const { workspace, isForwarded } = req;
    // The VM that forwarded it has charged it.
    if (workspace?.quota === undefined || isForwarded) return await serve();
    this.#checkClock();
    const cost = getCost(workspace, req);
    const takenAt = this.#now();
    const result = await this.#client.take(workspace.name, cost);
    // The configuration has changed since the request was routed.
    if (result === undefined) return await serve();
    const quotaFields = describe(result);
    this.#record(workspace.name, result);
    if (result.tag === "refused") {
      const retryAfterMs = Math.round(result.retryAfterMs);
      callerResponse.refuse(429, "quota exceeded", retryAfterMs);
      const reason = "quota";
      return { status: 429, reason, servers: [], retryAfterMs, ...quotaFields };
    }
    const outcome = await serve();
    if (NOT_EXECUTED_STATUSES.has(outcome.status)) {
      this.#client.giveBack(workspace.name, cost, takenAt);
    }
    return { ...outcome, ...quotaFields };
  }

  /** The regular check of the clock may be up to 200 ms away after a suspension. */
  #checkClock(): void {
    this.onClockJump(this.#clockJumps.detectJumpMs());
  }

  #getIssuer(workspace: string): string | undefined {
    const known = this.#issuers.get(workspace);
    if (known !== undefined) return known;
    const issuer = pickOwner(getQuotaRole(workspace), this.#eligible);
    if (issuer !== undefined) this.#issuers.set(workspace, issuer);
    return issuer;
  }

  /** Share of the listed VMs whose heartbeats arrive, this one included. */
  #getReachableShare(): number {
    const { members } = this.#options.peers.membership;
    const since = this.#now() - REACH_MS;
    const heard = members.filter(({ lastHeartbeatAt }) =>
      lastHeartbeatAt > since
    );
    const { vmCount = Infinity } = this.#options.limits;
    return Math.min(1, (heard.length + 1) / vmCount);
  }

  async #send(
    issuer: string,
    messageId: number,
    requests: readonly QuotaRequest[],
  ): Promise<readonly QuotaReply[]> {
    const { settings: { vm }, peers, log } = this.#options;
    const params: Params<"quota.take"> = [vm.id, messageId, [...requests]];
    if (issuer === vm.id) return this.take(params);
    log.count("quota_messages_total");
    const replies = await peers.mesh.call(issuer, "quota.take", {
      params,
      timeoutMs: TAKE_TIMEOUT_MS,
    });
    return requests.map((_, index) => replies[index] ?? NOT_ISSUER);
  }

  #record(workspace: string, { tag, figures }: QuotaResult): void {
    const { log } = this.#options;
    const label = this.#labels.has(workspace) ? workspace : OTHER_LABEL;
    const result = tag === "refused" ? tag : figures.source;
    log.count("quota_requests_total", 1, { workspace: label, result });
    if (tag === "granted") {
      log.count("quota_used_total", figures.wanted, { workspace: label });
    }
  }
}

/** What a request costs, in the unit of its workspace's quota. */
function getCost({ quota }: Workspace, { prompt }: GatewayRequest): number {
  if (quota?.unit !== QuotaUnit.Tokens) return 1;
  if (prompt === undefined) return quota.plainTokens;
  return prompt.promptTokens + prompt.maxOutputTokens;
}

/** The figures of a decision, as fields of the request's log event. */
function describe({ figures }: QuotaResult) {
  const { source, wanted, balance, overdrawn, leaseAgeMs, issuer } = figures;
  return {
    quotaSource: source,
    quotaWanted: wanted,
    quotaBalance: balance,
    quotaOverdrawn: overdrawn,
    quotaAgeMs: leaseAgeMs,
    quotaIssuer: issuer,
  };
}
