/**
 * Plain HTTP between VMs, beside their connections for messages. Any VM can be asked, also
 * one to which no connection is kept.
 * @module
 */
import { Buffer } from "node:buffer";
import type * as http from "node:http";
import {
  ConnectionError,
  openExchange,
  parseJson,
  readResponseBody,
} from "@bitternfall/connection";
import { readBody } from "@bitternfall/caller";
import { isAuthorized } from "@bitternfall/peer";
import * as zod from "zod";
import { getFirstValue } from "./headers.ts";
import { reachesAny, type ServerAddress } from "./server_links.ts";

/** Header with the key that the VMs share. */
const KEY_HEADER = "bitternfall-peer";
const REACH_PATH = "/reach";
const MAX_SERVERS = 16;
const MAX_BODY_BYTES = 4000;
const CONNECT_TIMEOUT_MS = 200;
const REACH_TIMEOUT_MS = 600;

const reachSchema = zod.array(zod.object({
  host: zod.string().max(255),
  port: zod.int().min(1).max(65_535),
})).max(MAX_SERVERS);

/** Address of a VM's peer listener, as `host:port`. */
export type PeerAddress = string;

/** Creates the handler of plain requests from other VMs. */
export function createPeerHttp(
  { key }: { key: string },
): http.RequestListener {
  return (req, res) => {
    const isPeer = isAuthorized(getFirstValue(req.headers[KEY_HEADER]), key);
    if (!isPeer || req.url !== REACH_PATH) {
      return void res.writeHead(isPeer ? 404 : 401).end();
    }
    void answerReach(req).then(
      (isReached) => res.end(JSON.stringify(isReached)),
      () => res.writeHead(400).end(),
    );
  };
}

async function answerReach(req: http.IncomingMessage): Promise<boolean> {
  const body = await readBody(req, MAX_BODY_BYTES);
  return await reachesAny(reachSchema.parse(parseJson(body)));
}

/** Asks a VM whether it reaches one of the servers; false if it does not answer. */
export async function askReach(
  address: PeerAddress,
  options: { key: string; servers: readonly ServerAddress[] },
): Promise<boolean> {
  const { key, servers } = options;
  const body = Buffer.from(
    JSON.stringify(servers.map(({ host, port }) => ({ host, port }))),
  );
  try {
    const res = await openExchange({
      ...parsePeerAddress(address),
      method: "POST",
      path: REACH_PATH,
      headers: [
        ...["Host", address, KEY_HEADER, `Bearer ${key}`],
        ...["Content-Length", String(body.length)],
      ],
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headTimeoutMs: REACH_TIMEOUT_MS,
    });
    const answer = await readResponseBody(res, {
      maxBytes: MAX_BODY_BYTES,
      timeoutMs: REACH_TIMEOUT_MS,
    });
    return res.statusCode === 200 && parseJson(answer) === true;
  } catch (err) {
    if (!(err instanceof ConnectionError)) throw err;
    return false;
  }
}

/** Splits `host:port`. */
export function parsePeerAddress(
  address: PeerAddress,
): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
