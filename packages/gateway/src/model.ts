/**
 * Routes, services and servers of transparent requests. Durations are milliseconds,
 * lengths tokens.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { ServerRole } from "@bitternfall/types";

/** What may be repeated of a route's requests. */
export enum RouteKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once. */
  Unsafe = "unsafe",
  /** Answered by a stream of events. */
  Stream = "stream",
}

/** A service that a route may lead to, with its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that is aimed at. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly eventGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Servers that one request may run on. */
  readonly maxAttempts: number;
  /** Whether a stream may go on at another server after its last whole event. */
  readonly isResumable: boolean;
  readonly targets: readonly RouteTarget[];
}

/** What the model servers of a service can do. */
export interface EngineTraits {
  readonly slots: number;
  /** Tokens that a server's memory holds. */
  readonly memoryTokens: number;
  /** Output tokens that one event of a stream carries. */
  readonly tokensPerEvent: number;
  /** How long the result of a prefill is kept. */
  readonly handleMs: number;
  /** Time that a server needs to change its role. */
  readonly roleSwitchMs: number;
}

/** A service that routes lead to. */
export interface GatewayService {
  readonly name: string;
  /** Connections that one server accepts from all VMs. */
  readonly maxConnections: number;
  /** Present where the servers are model servers. */
  readonly engine?: EngineTraits | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration. */
export interface GatewayConfig {
  /** Grows with each configuration. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, GatewayService>;
  readonly limits: CallerLimits;
}

/** One start of a server, as it describes itself. */
export interface ServerEntry {
  readonly id: string;
  /** When this start was, in milliseconds since the epoch; 0 where it is not told. */
  readonly bornAt: number;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly isDraining: boolean;
  /** Role of a model server. */
  readonly role?: ServerRole | undefined;
}

/** What a model request says of its prompt. */
export interface PromptTraits {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output. */
  readonly expectedOutputTokens?: number | undefined;
  /** Parts of the prompt in order, the shared ones first. */
  readonly parts: readonly { readonly id: string; readonly tokens: number }[];
}

/** What the head of a caller's request says. */
export interface RequestTraits {
  readonly requestId: string;
  /** How long the caller waits, from when it sent the request. */
  readonly deadlineMs?: number | undefined;
  readonly prompt?: PromptTraits | undefined;
  /** The caller has this and all earlier events of the stream. */
  readonly lastEventId?: string | undefined;
}

/** A caller's request, read whole. */
export interface GatewayRequest extends RequestTraits {
  readonly method: string;
  /** Path and query as sent. */
  readonly path: string;
  /** Names and values in turn, without those of a single connection. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** When the request came, on the gateway's clock. */
  readonly arrivedAt: number;
  /** When its answer must be out, on the gateway's clock. */
  readonly deadline: number;
  readonly route: Route;
  readonly service: GatewayService;
  /** Aborted when the caller goes away. */
  readonly gone: AbortSignal;
}
