/**
 * Stand-in of a plain service that records the calls it executed.
 * @module
 */
import type * as http from "node:http";
import { sleep } from "@bitternfall/types";
import { type JsonRequest, JsonServer, sendJson } from "./json_server.ts";

/** A call that was executed. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  /** Value of the `x-tag` header, by which a test identifies the call. */
  readonly tag: string;
  readonly at: number;
}

/** Faults that a plain-service stand-in can simulate. */
export interface ServiceFaults {
  /** Duration of each call. */
  delayMs: number;
  /** Probability that a call is executed and then fails with status 500. */
  failShare: number;
  /** Probability that a call is executed and the connection then closed without a response. */
  loseReplies: number;
  leaving: boolean;
}

/** A plain-service server that simulates calls over HTTP. */
export class ServiceStandIn {
  readonly id: string;
  readonly faults: ServiceFaults = {
    delayMs: 2,
    failShare: 0,
    loseReplies: 0,
    leaving: false,
  };
  readonly ledger: ServiceRun[] = [];
  readonly #random: () => number;
  #running = 0;
  /** Number of running calls when the load report was last updated. */
  #reportedRunning = 0;
  #server: JsonServer | undefined;
  #reportTimer: NodeJS.Timeout | undefined;

  constructor(options: { id: string; random?: () => number }) {
    this.id = options.id;
    this.#random = options.random ?? Math.random;
  }

  get address(): string {
    return this.#server?.address ?? "";
  }

  async listen(port = 0): Promise<void> {
    this.#server = await JsonServer.listen(
      (req, res) => this.#handle(req, res),
      port,
    );
    this.#reportTimer = setInterval(
      () => this.#reportedRunning = this.#running,
      300,
    );
  }

  async close(): Promise<void> {
    clearInterval(this.#reportTimer);
    await this.#server?.close();
  }

  async #handle(req: JsonRequest, res: http.ServerResponse): Promise<void> {
    const path = req.url.pathname;
    if (path === "/_control") {
      if (req.method === "PUT") {
        Object.assign(this.faults, JSON.parse(req.text));
      }
      return sendJson(res, 200, this.faults);
    }
    if (path === "/_ledger") return sendJson(res, 200, this.ledger);
    if (path === "/_report") {
      return sendJson(res, 200, {
        running: this.#reportedRunning,
        leaving: this.faults.leaving,
      });
    }
    const tag = String(req.headers["x-tag"] ?? "");
    this.#running++;
    this.ledger.push({ method: req.method, path, tag, at: Date.now() });
    try {
      if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
      if (this.#random() < this.faults.loseReplies) return void res.destroy();
      if (this.#random() < this.faults.failShare) {
        return sendJson(res, 500, { error: "service failed", tag });
      }
      sendJson(res, 200, {
        ok: true,
        tag,
        server: this.id,
        run: this.ledger.length,
      });
    } finally {
      this.#running--;
    }
  }
}
