/**
 * Stand-in of a plain service that keeps a ledger of what truly ran.
 * @module
 */
import type * as http from "node:http";
import { sleep } from "@bitternfall/types";
import { type JsonRequest, JsonServer, sendJson } from "./json_server.ts";

/** One call that ran. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  /** Value of `x-tag`, by which a test knows the call again. */
  readonly tag: string;
  readonly at: number;
}

/** Faults of a plain-service stand-in. */
export interface ServiceFaults {
  delayMs: number;
  failShare: number;
  /** Runs the call, then closes the connection without a reply, with this probability. */
  loseReplies: number;
  leaving: boolean;
}

/** The plain-service stand-in. */
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
  #reported = 0;
  #server: JsonServer | undefined;
  #timer: NodeJS.Timeout | undefined;

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
    this.#timer = setInterval(() => this.#reported = this.#running, 300);
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
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
        running: this.#reported,
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
