/**
 * Interfaces to the wire formats of callers and servers. Adapters implement them and
 * only translate between a wire format and these types.
 * @module
 */
import type { Buffer } from "node:buffer";
import type { PresentedKey } from "@bitternfall/access";
import type { ServerRole } from "@bitternfall/types";
import type { RequestTraits } from "./model.ts";

/** Reads the headers of callers' requests. */
export interface CallerDialect {
  /** Reads the traits of a request; undefined if its headers are malformed. */
  readTraits(headers: ReadonlyMap<string, string>): RequestTraits | undefined;
  /** Lower-case name of the header that carries the key. */
  readonly keyHeader: string;
  /** Reads the key of a request from all its headers, alternating names and values. */
  readKey(rawHeaders: readonly string[]): PresentedKey;
  /** Whether only the gateway may set a header; a caller's value is dropped. */
  isReserved(lowerCaseName: string): boolean;
}

/** Properties that the gateway adds to a request when it forwards it to a server. */
export interface CallTraits {
  /** The only server process that may run the request; others must refuse it. */
  readonly serverId: string;
  /** Time that the server has to respond. */
  readonly deadlineMs: number;
  /** Runs only the prefill stage. */
  readonly isPrefill?: boolean;
  /** Result of a prefill, which the decode server fetches. */
  readonly prefillResult?: PrefillResult | undefined;
  /** Resumes the stream after this event. */
  readonly lastEventId?: string | undefined;
  /** Name of the workspace that the request belongs to, as a header has it. */
  readonly workspace?: string | undefined;
  /** Urgency at a model server from 0 to 9, 0 first; undefined for the usual one. */
  readonly priority?: number | undefined;
}

/** Address of a prefill result, which the prefill server keeps until it is fetched. */
export interface PrefillResult {
  readonly host: string;
  readonly port: number;
  readonly handle: string;
  readonly tokens: number;
}

/** Properties of a server's response that are read from its status and headers. */
export interface ResponseTraits {
  readonly status: number;
  readonly requestId: string | undefined;
  /** The server states that it has not run the request. */
  readonly isNotRun: boolean;
  /** The response carries a seal, by which the server vouches for it. */
  readonly isSealed: boolean;
  /** Load that the server reports with the response. */
  readonly load?: ServerLoad | undefined;
  /** Requests a second that the server takes from all VMs together, if it is in need. */
  readonly requestsPerSecond?: number | undefined;
  /** The server says that it is leaving. */
  readonly isLeaving?: boolean | undefined;
  /** Time for which the server wants no requests, in a response that refuses one. */
  readonly pauseMs?: number | undefined;
}

/** Calls that a server runs and queues, and its number of slots. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, relative to the usual time; undefined if not named. */
  readonly pace?: number | undefined;
}

/** An order to a model server to change its role. */
export interface RoleOrder {
  readonly serverId: string;
  readonly role: string;
  /** Id of the VM that holds the steward lease and issues the order. */
  readonly holder: string;
  /** Fencing number of the lease. */
  readonly fence: number;
  /** Precondition: number of orders that the server must have accepted before. */
  readonly ordersAccepted: number;
}

/** A server's response to a {@link RoleOrder}. */
export enum OrderResult {
  Accepted = "accepted",
  /** The server already has the role. */
  AlreadyInRole = "holds",
  /** Another order is being carried out, or the precondition failed. */
  Conflict = "conflict",
  /** The server has seen a higher fencing number. */
  Fenced = "fenced",
  /** The server does not understand the order, or is another process than expected. */
  Refused = "refused",
}

/** A call that the gateway makes on its own behalf, not for a caller's request. */
export interface ControlCall {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
}

/** A model server's report of its role. */
export interface EngineReport {
  readonly role: ServerRole;
  /** Whether the server is carrying out an order. */
  readonly isSwitching: boolean;
  /** Number of orders that this server process has accepted. */
  readonly ordersAccepted: number;
}

/** Writes calls to servers and reads their responses. */
export interface ServerDialect {
  /** Headers to add to those of the caller, as alternating names and values. */
  buildCallHeaders(traits: CallTraits): string[];
  readResponse(
    status: number,
    headers: Readonly<{ [name: string]: string | string[] | undefined }>,
  ): ResponseTraits;
  /** Reads handle and length of a prefill result; undefined if the body is malformed. */
  readPrefillResult(
    body: Buffer,
  ): { handle: string; tokens: number } | undefined;
  /** Builds the call that frees a prefill result which will not be fetched. */
  buildFreeCall(handle: string): ControlCall;
  /** Builds the call that requests a server's report. */
  buildReportCall(): ControlCall;
  readReport(body: Buffer): EngineReport | undefined;
  buildOrderCall(order: RoleOrder): ControlCall;
  readOrderResult(status: number): OrderResult;
}
