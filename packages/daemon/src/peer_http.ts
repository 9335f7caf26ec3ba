/**
 * Plain HTTP on the peer listener: load summaries for other cells, and callers' requests
 * that other cells forward.
 * @module
 */
import type * as http from "node:http";
import { isAuthorized } from "@bitternfall/peer";
import { type CellSummary, SUMMARY_PATH } from "./cell_neighbours.ts";

/** Header with the key that authenticates a VM of another cell as a peer. */
export const PEER_HEADER = "bitternfall-peer";

/** Options of {@link createPeerHttp}. */
export interface PeerHttpOptions {
  /** The key that peers share. */
  readonly key: string;
  readonly getSummary: (service: string) => Promise<CellSummary>;
  /** Serves a caller's request that another cell forwarded. */
  readonly serveForwarded: (
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ) => void;
}

/** Creates the handler of requests that are not upgraded to WebSockets. */
export function createPeerHttp(options: PeerHttpOptions): http.RequestListener {
  const { key, getSummary, serveForwarded } = options;
  return (req, res) => {
    const header = req.headers[PEER_HEADER];
    if (!isAuthorized(Array.isArray(header) ? header[0] : header, key)) {
      res.writeHead(401);
      return void res.end();
    }
    delete req.headers[PEER_HEADER];
    const path = req.url ?? "/";
    if (!path.startsWith(SUMMARY_PATH)) return serveForwarded(req, res);
    getSummary(decodeURIComponent(path.slice(SUMMARY_PATH.length))).then(
      (summary) => {
        res.writeHead(200, { "content-type": "application/json" });
        res.end(JSON.stringify(summary));
      },
      () => {
        res.writeHead(503);
        res.end();
      },
    );
  };
}
