/**
 * Shapes that the parts of the dispatcher share.
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
  readonly promptTokens: number;
  /** Output tokens that exist already and are prefilled after the prompt. */
  readonly outputTokens: number;
  readonly maxTokens: number;
  /** Time by which the first output is wanted, on the dispatcher's clock. */
  readonly deadline: number;
  /** Hash chain of the prompt's prefixes, see {@link hashPrefixes}. */
  readonly hashes: readonly number[];
  /** Servers that failed this request before. */
  readonly avoid: readonly string[];
  /**
   * Tokens of memory that the whole run is expected to hold at its decode server; 0
   * where slots alone bound it.
   */
  readonly heldTokens?: number | undefined;
  /** Server that holds the result of this request's prefill, where there is one. */
  readonly prefilledBy?: string | undefined;
  /** Calls to servers that this attempt brings beyond the first of their kind. */
  readonly repeats?: number | undefined;
  /** What the caller said of its time, where callers do. */
  readonly patience?: CallerPatience | undefined;
}

/** How long a caller waits. */
export interface CallerPatience {
  /** Time that the caller had left when its request came. */
  readonly leftMs: number;
  /**
   * Time by which the first output is wanted of a caller that came before and is too
   * late for {@link AcquireRequest.deadline}.
   */
  readonly lateDeadline: number;
}

/** Stage of a grant. */
export enum Phase {
  /** Until the first output: prefill and transfer. */
  Prefill = "prefill",
  Decode = "decode",
}

/** Stands for the prefill server of a run whose decode server reads its prompt itself. */
export const NO_PREFILL = "";

/** Names one attempt at a request, and the grant that it has. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/** Servers granted to one attempt at a request. */
export interface Grant extends AttemptId {
  readonly workspace: string;
  readonly owner: string;
  /** Server that reads the prompt; {@link NO_PREFILL} where the decode server does. */
  readonly prefill: string;
  readonly decode: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Tokens of memory set aside at the decode server. */
  readonly heldTokens: number;
  /** Addresses of the servers as the dispatcher knows them; the owner may know less. */
  readonly prefillAddress?: string | undefined;
  readonly decodeAddress?: string | undefined;
}

/** A grant with what the dispatcher knows of its progress. */
export interface GrantState extends Grant {
  phase: Phase;
  readonly grantedAt: number;
  /** Tokens that the prefill was predicted to process. */
  readonly uncachedTokens: number;
  readonly hashes: readonly number[];
  /** Predicted end of the prefill. */
  readonly prefillEndAt: number;
  /** Whether the end of the prefill was told. */
  isPrefilled: boolean;
  decodeStartedAt: number;
  /** Predicted time of the first output. */
  readonly firstOutputAt: number;
  /** When the owner last showed that it runs this grant. */
  verifiedAt: number;
  /** Decode requests at the server when this one started. */
  batchAtStart: number;
}

/** Answer to an {@link AcquireRequest}. */
export type Decision =
  | { readonly kind: "grant"; readonly grant: Grant }
  | {
    readonly kind: "refusal";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
    /** A VM of another cell that has room, for the entry VM to forward to. */
    readonly spillTo?: string | undefined;
  };

/** Why a request was refused before anything ran. */
export enum RefusalReason {
  /** The first output would come too late. */
  Late = "late",
  WorkspaceLimit = "workspace-limit",
  NoServers = "no-servers",
  /** Too many requests of the service are being repeated. */
  RetryBudget = "retry-budget",
  /** The same attempt was asked for again, or its caller went away. */
  Withdrawn = "withdrawn",
  /** The dispatcher gave its role up. */
  Moved = "moved",
}

/** A server as the dispatcher is told of it. */
export interface ServerDeclaration {
  readonly id: string;
  readonly role: ServerRole;
  readonly availabilityZone: string;
  /** `host:port`, for owners that do not know the server. */
  readonly address?: string | undefined;
}

/** Settings of one dispatched service. */
export interface ServiceConfig {
  readonly servers: readonly ServerDeclaration[];
  readonly firstOutputMs: number;
  readonly betweenOutputsMs: number;
  /** Hard limit of requests that a decode server holds. */
  readonly decodeSlots: number;
  /**
   * Whether the roles are the servers' own words. Otherwise a server whose role was
   * changed takes no work until it is told not to be leaving.
   */
  readonly hasReportedRoles?: boolean | undefined;
  /** Tokens that the memory of a decode server holds; unbounded when absent. */
  readonly memoryTokens?: number | undefined;
  /** Rate that a prefill server is taken to have before it has shown another. */
  readonly prefillTokensPerMs?: number | undefined;
  /** Tokens that one output carries; 1 when absent. */
  readonly tokensPerOutput?: number | undefined;
  /** Whether decode servers can read prompts themselves where no prefill server is left. */
  readonly canDecodeUnread?: boolean | undefined;
  readonly perWorkspaceInFlight: number;
  /** Bounds the repeats of all requests; not bounded here when absent. */
  readonly retryBudget?:
    | { readonly share: number; readonly burst: number }
    | undefined;
  readonly weights: {
    readonly goodput: number;
    readonly wastedPrefill: number;
  };
}

/** A prefill and a decode server, with the predictions behind the choice. */
export interface Placement {
  readonly prefill: string;
  readonly decode: string;
  readonly uncachedTokens: number;
  readonly prefillEndAt: number;
  readonly firstOutputAt: number;
}

/** What a policy says of a request. */
export type Choice =
  | { readonly kind: "place"; readonly placement: Placement }
  /** Nothing is free; `until` is when the choice is worth repeating without an event. */
  | {
    readonly kind: "wait";
    readonly until: number;
    /** Whether a prefill server is free, so that a smaller request may fit. */
    readonly maySmallerFit?: boolean;
  }
  | { readonly kind: "none" };

/** A lagging load report. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Age of the figures when they came, in milliseconds. */
  readonly ageMs: number;
}
