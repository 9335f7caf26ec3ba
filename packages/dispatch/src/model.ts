/**
 * Types shared by the modules of the dispatcher.
 * @module
 */
import type { Priority, ServerRole } from "@bitternfall/types";

/** A request for a prefill and a decode server. */
export interface AcquireRequest {
  readonly requestId: string;
  readonly attempt: number;
  readonly workspace: string;
  /** VM that owns the request. */
  readonly owner: string;
  readonly availabilityZone: string;
  readonly priority: Priority;
  /** Urgency among the requests of the service; 0, the default, is the most urgent. */
  readonly rank?: number | undefined;
  /** Customer by whom the fair share is computed; `workspace` when absent. */
  readonly account?: string | undefined;
  readonly promptTokens: number;
  /** Output tokens that were already generated and are prefilled after the prompt. */
  readonly outputTokens: number;
  readonly maxTokens: number;
  /** Deadline of the first output, on the dispatcher's clock. */
  readonly deadline: number;
  /** Hash chain of the prompt's prefixes, see {@link hashPrefixes}. */
  readonly hashes: readonly number[];
  /** Hashes of the parts that the prompt shares with others, if its caller names them. */
  readonly parts?: readonly number[] | undefined;
  /** Servers that failed this request before. */
  readonly avoid: readonly string[];
  /**
   * Peak KV cache memory, in tokens, that the run is expected to hold at its decode
   * server; 0 where the server is bounded by slots alone.
   */
  readonly heldTokens?: number | undefined;
  /** Server that holds the KV cache of this request's finished prefill, if any. */
  readonly prefilledBy?: string | undefined;
  /**
   * Retry tokens that this attempt needs from the dispatcher, beyond those that its VM has
   * paid itself.
   */
  readonly retriedCalls?: number | undefined;
  /** Software version that the decode server must have, since it began the stream. */
  readonly softwareVersion?: string | undefined;
  /**
   * Id of the stream that the request resumes, where its owner does not know which version
   * began it; empty if the caller does not name it.
   */
  readonly resumedStreamId?: string | undefined;
  /** How long the caller is willing to wait, for services whose callers state it. */
  readonly patience?: CallerPatience | undefined;
}

/** How long a caller is willing to wait. */
export interface CallerPatience {
  /** Time until the caller's own timeout when its request arrived. */
  readonly remainingMs: number;
  /**
   * Deadline of the first output for a returning caller that can no longer meet
   * {@link AcquireRequest.deadline}.
   */
  readonly relaxedDeadline: number;
}

/** Stage of a grant. */
export enum Phase {
  /** Prefill and KV cache transfer, until the first output. */
  Prefill = "prefill",
  Decode = "decode",
}

/** Prefill server ID of a run whose decode server prefills the prompt itself. */
export const NO_PREFILL = "";

/** Identifies one attempt at a request and its grant. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/** Servers granted to one attempt at a request. */
export interface Grant extends AttemptId {
  readonly workspace: string;
  readonly owner: string;
  /** Server that prefills the prompt; {@link NO_PREFILL} where the decode server does. */
  readonly prefill: string;
  readonly decode: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** KV cache memory reserved at the decode server, in tokens. */
  readonly heldTokens: number;
  /** Addresses of the servers, for an owner that does not know them yet. */
  readonly prefillAddress?: string | undefined;
  readonly decodeAddress?: string | undefined;
  /** Software version of the decode server, as the dispatcher knows it. */
  readonly decodeVersion?: string | undefined;
}

/** A grant and its progress as known to the dispatcher. */
export interface GrantState extends Grant {
  phase: Phase;
  readonly grantedAt: number;
  /** Whether an earlier dispatcher granted it; `grantedAt` is the time of its adoption then. */
  readonly isAdopted: boolean;
  /** Tokens that the prefill was predicted to process. */
  readonly uncachedTokens: number;
  readonly hashes: readonly number[];
  /** See {@link AcquireRequest.parts}; unknown if the grant was adopted. */
  readonly parts?: readonly number[] | undefined;
  /** Id of the request that brought, or brings, the first event of the stream. */
  readonly streamId: string;
  /** Predicted end of the prefill. */
  readonly prefillEndAt: number;
  /** Whether the end of the prefill was reported. */
  isPrefilled: boolean;
  decodeStartedAt: number;
  /** Predicted time of the first output. */
  readonly firstOutputAt: number;
  /** When the owner last confirmed that it runs this grant. */
  verifiedAt: number;
  /** Grants at the decode server when this one started to decode. */
  batchSizeAtStart: number;
}

/** Outcome of an {@link AcquireRequest}. */
export type Decision =
  | { readonly kind: "grant"; readonly grant: Grant }
  | {
    readonly kind: "refusal";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
    /** A VM of another cell with free capacity, to which the entry VM can forward. */
    readonly spillTo?: string | undefined;
  };

/** Why a request was refused before any of it ran. */
export enum RefusalReason {
  /** The first output would miss its deadline. */
  Late = "late",
  /** The first output would miss its deadline because more urgent requests are served. */
  Priority = "priority",
  WorkspaceLimit = "workspace-limit",
  NoServers = "no-servers",
  /** The service's retry budget is used up. */
  RetryBudget = "retry-budget",
  /** The caller disconnected, as the VM that owns the request has said. */
  Withdrawn = "withdrawn",
  /**
   * The dispatcher no longer holds the request, since its role has moved or it took the
   * owner for dead. The owner asks again.
   */
  Moved = "moved",
  /** Servers have ended under parts of this prompt. */
  Blocked = "blocked",
  /** No server has the version that began the stream. */
  VersionGone = "version-gone",
  /** It is not known which of several versions began the stream. */
  VersionUnknown = "version-unknown",
  /** The dispatcher can't read now whether several versions may have begun the stream. */
  VersionUnconfirmed = "version-unconfirmed",
}

/** A server as configured at the dispatcher. */
export interface ServerDeclaration {
  readonly id: string;
  readonly role: ServerRole;
  readonly availabilityZone: string;
  /** `host:port`, passed on to owners that do not know the server yet. */
  readonly address?: string | undefined;
  readonly softwareVersion?: string | undefined;
}

/** Settings of one dispatched service. */
export interface ServiceConfig {
  readonly servers: readonly ServerDeclaration[];
  readonly firstOutputMs: number;
  readonly betweenOutputsMs: number;
  /** Hard limit of concurrent requests per decode server. */
  readonly decodeSlots: number;
  /**
   * Whether the servers themselves reported these roles. Otherwise a server whose role
   * changed counts as leaving, and takes no work, until that is revoked.
   */
  readonly hasReportedRoles?: boolean | undefined;
  /** KV cache capacity of a decode server, in tokens; unbounded when absent. */
  readonly memoryTokens?: number | undefined;
  /** Assumed rate of a prefill server until it has been measured. */
  readonly prefillTokensPerMs?: number | undefined;
  /** Assumed time to transfer the KV cache of one token until it has been measured. */
  readonly transferMsPerToken?: number | undefined;
  /** Tokens per output event; 1 when absent. */
  readonly tokensPerOutput?: number | undefined;
  /** Whether decode servers can prefill prompts themselves if no prefill server is left. */
  readonly canPrefillOnDecode?: boolean | undefined;
  readonly perWorkspaceInFlight: number;
  /** Whether retried calls are paid for with retry tokens; they are not bounded if not. */
  readonly hasRetryBudget?: boolean | undefined;
  /**
   * Relative values of a request served on time and of a prefill wasted; they set the share
   * of predicted slot releases that is granted in advance.
   */
  readonly weights: {
    readonly goodput: number;
    readonly wastedPrefill: number;
  };
}

/** A chosen prefill and decode server, with the predictions behind the choice. */
export interface Placement {
  readonly prefill: string;
  readonly decode: string;
  readonly uncachedTokens: number;
  readonly prefillEndAt: number;
  readonly firstOutputAt: number;
}

/** Result of a placement policy for one request. */
export type PlacementChoice =
  | { readonly kind: "place"; readonly placement: Placement }
  /** No capacity now; `until` is when to try again if nothing changes before. */
  | {
    readonly kind: "wait";
    readonly until: number;
    /** Whether a smaller request may fit into the capacity that is left. */
    readonly maySmallerFit?: boolean;
  }
  | { readonly kind: "none" };

/** A load report of a server; its figures lag behind. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Age of the figures on arrival, in milliseconds. */
  readonly ageMs: number;
}
