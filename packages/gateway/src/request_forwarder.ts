/**
 * Passes requests of a VM that reaches no server on to other VMs, which serve them like
 * those of their own callers. The response is relayed as it comes.
 * @module
 */
import type * as http from "node:http";
import { ConnectionError, hasBodyFraming } from "@bitternfall/connection";
import type { EventLog } from "@bitternfall/events";
import type { Clock } from "@bitternfall/types";
import { pumpBody } from "./body_pump.ts";
import {
  type CallerResponse,
  NOT_EXECUTED_STATUSES,
} from "./caller_response.ts";
import { BODYLESS_STATUSES, pickEndToEndHeaders } from "./headers.ts";
import { type GatewayRequest, RouteKind } from "./model.ts";
import {
  hasDeclined,
  isPeerHeader,
  type PeerAddress,
  sendForwarded,
} from "./peer_http.ts";
import type { CallOutcome } from "./plain_call.ts";
import type { ServerLinks } from "./server_links.ts";

/** Options of a {@link RequestForwarder}. */
export interface RequestForwarderOptions {
  /** Key that the VMs share. */
  readonly key: string;
  readonly links: Pick<ServerLinks, "areLost" | "getHelpers">;
  readonly findAddress: (vmId: string) => PeerAddress | undefined;
  readonly log: EventLog;
  readonly now: Clock;
}

/** What this VM knows of a request that it forwards. */
export interface ForwardOptions {
  /** Whether this VM has counted it for the retry budget. */
  readonly isCounted?: boolean;
  /** Whether a server may have run it. */
  readonly mayHaveRun?: boolean;
}

/** VMs that are tried for one request; only one of them may run it. */
const MAX_HELPERS = 3;
/** Another VM, to which a returning caller comes, can serve it at once. */
const RETRY_AFTER_MS = 50;
/** Callers abandon a stream after a gap of about twice this. */
const MAX_STREAM_GAP_MS = 1800;
/** Time after the deadline within which a helper may still report the outcome. */
const DEADLINE_GRACE_MS = 100;

/** Forwards requests to the helpers that {@link ServerLinks} has found. */
export class RequestForwarder {
  readonly #options: RequestForwarderOptions;
  #forwardedCount = 0;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
  }

  /** Whether a request is to be forwarded rather than sent to servers. */
  shouldForward({ isForwarded, service }: GatewayRequest): boolean {
    return this.#options.links.areLost(service.name) && !isForwarded;
  }

  /** Forwards a request that no server has run, or that may run again. */
  async forward(
    req: GatewayRequest,
    callerResponse: CallerResponse,
    options: ForwardOptions = {},
  ): Promise<CallOutcome> {
    const { isCounted = false, mayHaveRun = false } = options;
    const known = this.#options.links.getHelpers(req.service.name);
    // Begins with another one each time, so that they share the load.
    const first = this.#forwardedCount++ % Math.max(1, known.length);
    const helpers = [...known.slice(first), ...known.slice(0, first)]
      .slice(0, MAX_HELPERS);
    for (const helper of helpers) {
      const status = await this.#tryHelper(helper, {
        req,
        callerResponse,
        isCounted,
        mayHaveRun,
      });
      if (req.callerSignal.aborted) {
        return { status: 499, reason: "caller went away", servers: [], helper };
      }
      if (status === undefined) continue;
      return { status, reason: "forwarded", servers: [], helper };
    }
    const reason = "this VM reaches no server of the service";
    if (mayHaveRun) {
      callerResponse.refuse(502, "the server failed");
      return { status: 502, reason, servers: [] };
    }
    callerResponse.refuse(503, reason, RETRY_AFTER_MS);
    return { status: 503, reason, servers: [], retryAfterMs: RETRY_AFTER_MS };
  }

  /** Returns the status that the caller got; undefined if the helper has run nothing. */
  async #tryHelper(
    helper: string,
    options: {
      req: GatewayRequest;
      callerResponse: CallerResponse;
      isCounted: boolean;
      mayHaveRun: boolean;
    },
  ): Promise<number | undefined> {
    const { findAddress, key, now, log } = this.#options;
    const { req, callerResponse, isCounted, mayHaveRun } = options;
    const address = findAddress(helper);
    const remainingMs = Math.floor(req.deadline - now());
    if (address === undefined || remainingMs <= 0) return undefined;
    log.emit("requestForwarded", { requestId: req.requestId, helper });
    const endSend = req.progress.beginSend();
    try {
      const res = await sendForwarded(address, req, {
        key,
        isCounted,
        deadlineMs: remainingMs,
        headTimeoutMs: remainingMs + DEADLINE_GRACE_MS,
      });
      if (hasDeclined(res)) {
        endSend(false);
        res.destroy();
        return undefined;
      }
      endSend(true);
      // It promises that the request has not run, which it can't know.
      if (mayHaveRun && NOT_EXECUTED_STATUSES.has(res.statusCode ?? 0)) {
        res.destroy();
        callerResponse.refuse(502, "the server failed");
        return 502;
      }
      return await this.#relay(res, req, callerResponse);
    } catch (err) {
      if (!(err instanceof ConnectionError)) throw err;
      const { tag } = err.detail;
      endSend(tag !== "not_sent");
      if (tag === "not_sent" || tag === "aborted") return undefined;
      const status = tag === "no_reply" ? 504 : 502;
      callerResponse.refuse(status, "the VM that served the request failed");
      return status;
    }
  }

  /** Relays a response; one that breaks off breaks the caller's off too. */
  async #relay(
    res: http.IncomingMessage,
    req: GatewayRequest,
    callerResponse: CallerResponse,
  ): Promise<number> {
    const status = res.statusCode ?? 502;
    callerResponse.writeHead(
      status,
      pickEndToEndHeaders(res.rawHeaders, isPeerHeader),
    );
    const { kind } = await pumpBody({
      res,
      callerResponse,
      callerSignal: req.callerSignal,
      ...this.#getTimeouts(req),
    });
    // A VM always frames its answers; another end is that of the VM.
    const isFramed = hasBodyFraming(res) || req.method === "HEAD" ||
      BODYLESS_STATUSES.has(status);
    const isComplete = kind === "ended" && isFramed;
    if (isComplete) callerResponse.end();
    else callerResponse.abort();
    return isComplete ? status : 0;
  }

  #getTimeouts({ route, deadline }: GatewayRequest) {
    const getRemainingMs = () => Math.max(0, deadline - this.#options.now());
    return route.kind === RouteKind.Stream
      ? { getMaxGapMs: () => Math.max(MAX_STREAM_GAP_MS, getRemainingMs()) }
      : { timeoutMs: getRemainingMs() + DEADLINE_GRACE_MS };
  }
}
