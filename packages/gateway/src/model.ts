/**
 * Types of the gateway: routes, services, servers and requests that are passed on
 * unchanged. Durations are in milliseconds, lengths in tokens.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Workspace } from "@bitternfall/access";
import type { ServerRole } from "@bitternfall/types";
import type { RequestProgress } from "./request_progress.ts";

/** Whether a route's requests may run more than once or are answered by a stream. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  Safe = "safe",
  /** Runs at most once. */
  Unsafe = "unsafe",
  /** Answered by an event stream. */
  Stream = "stream",
}

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests to one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Timeout of a request. */
  readonly timeoutMs: number;
  /** Target time to the response, or to a stream's first event. */
  readonly targetMs: number;
  /** Target for the longest gap between two events of a stream. */
  readonly eventGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether its requests need no key where the configuration has workspaces. */
  readonly isPublic?: boolean | undefined;
  /** Maximum number of servers that one request may run on. */
  readonly maxAttempts: number;
  /** Whether a broken stream may resume at another server after its last complete event. */
  readonly isResumable: boolean;
  /** None if the route can't be used: its requests are refused, and take no other route. */
  readonly targets: readonly RouteTarget[];
}

/** Capacity and timing of a service's model servers. */
export interface EngineTraits {
  /** Requests that a server runs at once. */
  readonly slots: number;
  /** KV cache capacity of a server, in tokens. */
  readonly memoryTokens: number;
  /** Output tokens that one event of a stream carries. */
  readonly tokensPerEvent: number;
  /** Time to transfer the KV cache of one token within a zone; undefined if not stated. */
  readonly transferMsPerToken?: number | undefined;
  /** How long a server keeps the result of a prefill. */
  readonly handleMs: number;
  /** Time that a server takes to change its role. */
  readonly roleSwitchMs: number;
}

/** A service that routes lead to. */
export interface GatewayService {
  readonly name: string;
  /** Connections that one server accepts from all VMs together. */
  readonly maxConnections: number;
  /** Present where the servers are model servers. */
  readonly engine?: EngineTraits | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface GatewayConfig {
  /** Increases with each configuration; undefined if it can't be read. */
  readonly version: number | undefined;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, GatewayService>;
  readonly limits: CallerLimits;
  /** The customers; undefined where requests need no key. */
  readonly workspaces?: readonly Workspace[] | undefined;
  /** Keys of customers that can't be used; requests with them are refused. */
  readonly unusableKeys?: readonly string[] | undefined;
}

/** Registration of one server process; a restarted server registers anew. */
export interface ServerEntry {
  readonly id: string;
  /** Start time of the process, in milliseconds since the epoch; 0 if unknown. */
  readonly bornAt: number;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly isDraining: boolean;
  /** Version of the server's software, not of its weights; empty if it names none. */
  readonly softwareVersion: string;
  /** Role of a model server. */
  readonly role?: ServerRole | undefined;
}

/** Properties of a model request's prompt, as stated by the caller. */
export interface PromptTraits {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output length. */
  readonly expectedOutputTokens?: number | undefined;
  /** Parts of the prompt in order; those shared with other prompts come first. */
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
}

/** Properties of a request that are read from its headers. */
export interface RequestTraits {
  readonly requestId: string;
  /** The caller's timeout, counted from when it sent the request. */
  readonly deadlineMs?: number | undefined;
  readonly prompt?: PromptTraits | undefined;
  /** Id of the last event that the caller has received; the stream resumes after it. */
  readonly lastEventId?: string | undefined;
  /** Id of the request that brought the first event of the stream that resumes. */
  readonly resumes?: string | undefined;
}

/** A caller's request, including its complete body. */
export interface GatewayRequest extends RequestTraits {
  readonly method: string;
  /** Path and query, as sent by the caller. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Where its sends are recorded. */
  readonly progress: RequestProgress;
  /** All headers as they arrived, alternating names and values. */
  readonly rawHeaders: readonly string[];
  /** Whether another VM has forwarded it, which reaches no server. */
  readonly isForwarded: boolean;
  /** Whether another VM has counted it for the retry budget. */
  readonly isCounted: boolean;
  /** Time of arrival, on the gateway's clock. */
  readonly arrivedAt: number;
  /** Deadline of the response, on the gateway's clock. */
  readonly deadline: number;
  readonly route: Route;
  readonly service: GatewayService;
  /** Workspace of the caller's key; undefined where the request needs no key. */
  readonly workspace?: Workspace | undefined;
  /** Rank among the requests of its service, 0 is the most urgent. */
  readonly rank?: number | undefined;
  /** Aborted when the caller disconnects. */
  readonly callerSignal: AbortSignal;
}
