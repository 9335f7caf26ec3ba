/**
 * Plain HTTP between VMs, beside their connections for messages. Any VM can be asked, also
 * one to which no connection is kept.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import { toHeaderText } from "@bitternfall/access";
import {
  ConnectionError,
  openExchange,
  parseJson,
  readResponseBody,
} from "@bitternfall/connection";
import { readBody } from "@bitternfall/caller";
import {
  isAuthorized,
  MAX_MESSAGE_BYTES,
  METHODS,
  type Params,
  type Result,
} from "@bitternfall/peer";
import { MAX_NAME_LENGTH } from "@bitternfall/types";
import * as zod from "zod";
import { getFirstValue, parseDecimal, pickEndToEndHeaders } from "./headers.ts";
import type { GatewayRequest } from "./model.ts";
import type { ObjectCursor } from "./peer_object_sync.ts";
import { type ProbedServer, reachesAny } from "./server_links.ts";

/** Begins the names of the headers between VMs. */
const HEADER_PREFIX = "bitternfall-peer-";
/** Header with the key that the VMs share. */
const KEY_HEADER = `${HEADER_PREFIX}key`;
/** In a forwarded request: the time that is left for it, in milliseconds. */
const DEADLINE_HEADER = `${HEADER_PREFIX}deadline-ms`;
/** In a forwarded request: the VM before has counted it for the retry budget. */
const COUNTED_HEADER = `${HEADER_PREFIX}counted`;
/** In a forwarded request: name of the workspace whose key the VM before has checked. */
const WORKSPACE_HEADER = `${HEADER_PREFIX}workspace`;
/** In a response: the VM has not run the request and won't. */
const DECLINED_HEADER = `${HEADER_PREFIX}declined`;
const REACH_PATH = "/reach";
const OBJECTS_PATH = "/objects";
const MAX_CURSOR_BYTES = 16_384;
const MAX_SERVERS = 16;
/** Enough for so many names of the greatest length. */
const MAX_BODY_BYTES = 4 * MAX_SERVERS * MAX_NAME_LENGTH;
const CONNECT_TIMEOUT_MS = 200;
const REACH_TIMEOUT_MS = 800;

const reachSchema = zod.array(zod.string().max(MAX_NAME_LENGTH)).max(
  MAX_SERVERS,
);

/** Address of a VM's peer listener, as `host:port`. */
export type PeerAddress = string;

/** What a VM says of a request that it forwards. */
export interface ForwardedTraits {
  /** Time that is left for the request. */
  readonly deadlineMs: number;
  /** Whether the retry budget counts the request already. */
  readonly isCounted: boolean;
  /** Name of the workspace whose key that VM has checked, as a header has it. */
  readonly workspace?: string | undefined;
}

/** Options of {@link createPeerHttp}. */
export interface PeerHttpOptions {
  /** Key that the VMs share. */
  readonly key: string;
  readonly findServer: (id: string) => ProbedServer | undefined;
  /** Returns the objects after the cursors. */
  readonly listObjects: (
    cursors: Params<"objects.pull">[0],
  ) => Result<"objects.pull">;
  /** Serves a request that another VM has forwarded. */
  readonly serveForwarded: (
    req: http.IncomingMessage,
    res: http.ServerResponse,
    traits: ForwardedTraits,
  ) => void;
}

/** Whether a header is one between VMs. */
export function isPeerHeader(lowerCaseName: string): boolean {
  return lowerCaseName.startsWith(HEADER_PREFIX);
}

/** Creates the handler of plain requests from other VMs. */
export function createPeerHttp(options: PeerHttpOptions): http.RequestListener {
  const { key, findServer, listObjects, serveForwarded } = options;
  return (req, res) => {
    const { headers } = req;
    if (!isAuthorized(getFirstValue(headers[KEY_HEADER]), key)) {
      return void res.writeHead(401).end();
    }
    const deadlineMs = parseDecimal(getFirstValue(headers[DEADLINE_HEADER]));
    if (deadlineMs !== undefined) {
      const isCounted = headers[COUNTED_HEADER] !== undefined;
      const workspace = getFirstValue(headers[WORKSPACE_HEADER]);
      return serveForwarded(req, res, { deadlineMs, isCounted, workspace });
    }
    const answer = req.url === REACH_PATH
      ? answerReach(req, findServer)
      : req.url === OBJECTS_PATH
      ? answerObjects(req, listObjects)
      : undefined;
    if (answer === undefined) return void res.writeHead(404).end();
    void answer.then(
      (value) => res.end(JSON.stringify(value)),
      () => res.writeHead(400).end(),
    );
  };
}

async function answerObjects(
  req: http.IncomingMessage,
  listObjects: PeerHttpOptions["listObjects"],
): Promise<Result<"objects.pull">> {
  const { params } = METHODS["objects.pull"];
  const [cursors] = params.parse(
    parseJson(await readBody(req, MAX_CURSOR_BYTES)),
  );
  return listObjects(cursors);
}

/** Asks a VM for the objects after the cursors. Throws if it does not answer. */
export async function fetchObjects(
  address: PeerAddress,
  options: {
    key: string;
    cursors: readonly ObjectCursor[];
    timeoutMs: number;
  },
): Promise<Result<"objects.pull">> {
  const { key, cursors, timeoutMs } = options;
  const res = await postJson(address, {
    key,
    path: OBJECTS_PATH,
    json: [cursors],
    timeoutMs,
  });
  const answer = await readResponseBody(res, {
    maxBytes: MAX_MESSAGE_BYTES,
    timeoutMs,
  });
  if (res.statusCode !== 200) {
    throw new Error(`${address} answered ${res.statusCode}`);
  }
  return METHODS["objects.pull"].result.parse(parseJson(answer));
}

/** Sends JSON to another VM. Throws {@link ConnectionError}. */
function postJson(
  address: PeerAddress,
  options: { key: string; path: string; json: unknown; timeoutMs: number },
): Promise<http.IncomingMessage> {
  const { key, path, json, timeoutMs } = options;
  const body = Buffer.from(JSON.stringify(json));
  return openExchange({
    ...parsePeerAddress(address),
    method: "POST",
    path,
    headers: [
      ...["Host", address, KEY_HEADER, `Bearer ${key}`],
      ...["Content-Length", String(body.length)],
    ],
    body,
    headTimeoutMs: timeoutMs,
  });
}

async function answerReach(
  req: http.IncomingMessage,
  findServer: PeerHttpOptions["findServer"],
): Promise<boolean> {
  const ids = reachSchema.parse(
    parseJson(await readBody(req, MAX_BODY_BYTES)),
  );
  return await reachesAny(
    ids.map(findServer).filter((server) => server !== undefined),
  );
}

/** Asks a VM whether it reaches one of the servers; undefined if it does not answer. */
export async function askReach(
  address: PeerAddress,
  options: { key: string; serverIds: readonly string[] },
): Promise<boolean | undefined> {
  const { key, serverIds } = options;
  try {
    const res = await postJson(address, {
      key,
      path: REACH_PATH,
      json: serverIds,
      timeoutMs: REACH_TIMEOUT_MS,
    });
    const answer = await readResponseBody(res, {
      maxBytes: MAX_BODY_BYTES,
      timeoutMs: REACH_TIMEOUT_MS,
    });
    return res.statusCode === 200 ? parseJson(answer) === true : undefined;
  } catch (err) {
    if (!(err instanceof ConnectionError)) throw err;
    return undefined;
  }
}

/** Refuses a forwarded request, so that another VM is tried. */
export function decline(res: http.ServerResponse): void {
  res.writeHead(503, { [DECLINED_HEADER]: "1", "content-length": 0 }).end();
}

/** Whether a VM has refused a forwarded request. */
export function hasDeclined({ headers }: http.IncomingMessage): boolean {
  return headers[DECLINED_HEADER] !== undefined;
}

/**
 * Sends a request to another VM as its caller has sent it. Resolves once the response's
 * headers have arrived. Throws {@link ConnectionError}.
 */
export function sendForwarded(
  address: PeerAddress,
  req: Pick<
    GatewayRequest,
    "method" | "path" | "rawHeaders" | "body" | "callerSignal" | "workspace"
  >,
  options: Omit<ForwardedTraits, "workspace"> & {
    key: string;
    headTimeoutMs: number;
  },
): Promise<http.IncomingMessage> {
  const { method, path, rawHeaders, body, callerSignal, workspace } = req;
  const { key, deadlineMs, isCounted, headTimeoutMs } = options;
  const isDropped = (name: string) =>
    name === "content-length" || name === "expect" || isPeerHeader(name);
  return openExchange({
    ...parsePeerAddress(address),
    method,
    path,
    headers: [
      ...pickEndToEndHeaders(rawHeaders, isDropped),
      ...(body === undefined ? [] : ["Content-Length", String(body.length)]),
      ...[KEY_HEADER, `Bearer ${key}`],
      ...[DEADLINE_HEADER, String(deadlineMs)],
      ...(isCounted ? [COUNTED_HEADER, "1"] : []),
      ...(workspace === undefined
        ? []
        : [WORKSPACE_HEADER, toHeaderText(workspace.name)]),
    ],
    body,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    headTimeoutMs,
    signal: callerSignal,
  });
}

/** Splits `host:port`. */
export function parsePeerAddress(
  address: PeerAddress,
): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
