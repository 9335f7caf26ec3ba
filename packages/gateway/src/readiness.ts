/**
 * Listeners for the balancer's readiness checks and for metrics.
 * @module
 */
import { Listener } from "@bitternfall/connection";
import { type EventLog, METRICS_CONTENT_TYPE } from "@bitternfall/events";
import { MAX_PROBE_CONNECTIONS as maxConnections } from "./descriptor_limits.ts";

interface Address {
  readonly host: string;
  readonly port: number;
}

/** Responds to any request with 200 while `isReady()` is true, and 503 otherwise. */
export function createReadyListener(
  address: Address,
  isReady: () => boolean,
): Listener {
  return new Listener({ ...address, maxConnections }, (req, res) => {
    req.resume();
    // Connections that probers leave open would use up the limit.
    res.shouldKeepAlive = false;
    res.writeHead(isReady() ? 200 : 503, { "content-length": 0 }).end();
  });
}

/** Serves counters and histograms as text. */
export function createMetricsListener(
  address: Address,
  log: EventLog,
): Listener {
  return new Listener({ ...address, maxConnections }, (req, res) => {
    req.resume();
    res.writeHead(200, { "content-type": METRICS_CONTENT_TYPE });
    res.end(log.metrics.render());
  });
}
