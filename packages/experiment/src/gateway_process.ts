/**
 * One gateway as a process of its own, with the memory limits of its command in the deploy
 * file, before an object API and a server in this process.
 * @module
 */
import * as fs from "node:fs";
import * as http from "node:http";
import type * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { ObjectStore } from "@bitternfall/platform";
import { PlatformStandIn } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { findScript, ProcessGroup, waitForExit } from "./process_group.ts";

/** Flags of Node.js in `deploy/system.toml`. */
const NODE_ARGS = ["--max-old-space-size=96", "--max-semi-space-size=4"];
const LOOPBACK = { host: "127.0.0.1", port: 0 };
const READY_TIMEOUT_MS = 15_000;
const BYTES_PER_KB = 1024;

/** Options of a {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly memoryMb: number;
  readonly descriptors?: number;
  /** Time for which the server works on each request. */
  readonly workMs: number;
}

/** A gateway process whose memory is observed. */
export class GatewayProcess {
  readonly #options: GatewayProcessOptions;
  readonly #directory = fs.mkdtempSync(path.join(os.tmpdir(), "gateway-"));
  readonly #processes = new ProcessGroup({ logDirectory: this.#directory });
  readonly #platform = new PlatformStandIn({ random: () => 0.5 });
  readonly #server: http.Server;
  #pid = 0;
  #callerPort = 0;
  #peerPort = 0;
  #hasEnded = false;

  constructor(options: GatewayProcessOptions) {
    this.#options = options;
    this.#server = http.createServer((req, res) => {
      req.resume();
      const id = req.headers["bitternfall-request-id"] ?? "";
      setTimeout(() => {
        res.writeHead(200, {
          "bitternfall-request-id": id,
          "bitternfall-seal": "sealed",
        });
        res.end("done");
      }, options.workMs);
    });
  }

  get callerPort(): number {
    return this.#callerPort;
  }

  get peerPort(): number {
    return this.#peerPort;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Highest resident memory so far, in bytes. */
  get peakBytes(): number {
    const status = fs.readFileSync(`/proc/${this.#pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+)/.exec(status)![1]) * BYTES_PER_KB;
  }

  /** Starts everything and waits until the gateway is ready. */
  async start(): Promise<void> {
    await this.#platform.listen();
    await new Promise<void>((resolve) =>
      this.#server.listen(0, LOOPBACK.host, resolve)
    );
    await this.#writeObjects();
    const { child, startupMessage } = await this.#processes.start({
      script: findScript("@bitternfall/gateway", "main.js"),
      args: ["--config", this.#writeSettings()],
      name: "vm-1",
      nodeArgs: NODE_ARGS,
    });
    this.#pid = child.pid!;
    void waitForExit(child).then(() => this.#hasEnded = true);
    const { callerPort, peerPort, readyPort } = startupMessage as {
      callerPort: number;
      peerPort: number;
      readyPort: number;
    };
    this.#callerPort = callerPort;
    this.#peerPort = peerPort;
    const until = performance.now() + READY_TIMEOUT_MS;
    while (!await isReady(readyPort)) {
      if (performance.now() > until) throw new Error("gateway is not ready");
      await sleep(20);
    }
  }

  async stop(): Promise<void> {
    await this.#processes.stop();
    this.#server.closeAllConnections();
    this.#server.close();
    await this.#platform.close();
    fs.rmSync(this.#directory, { recursive: true, force: true });
  }

  #writeSettings(): string {
    const { memoryMb, descriptors = "" } = this.#options;
    const file = path.join(this.#directory, "settings.json");
    const settings = {
      vm: { id: "vm-1", availabilityZone: "a", memoryMb, descriptors },
      listen: { caller: LOOPBACK, ready: LOOPBACK, peer: LOOPBACK },
      peerKey: "a-shared-secret-of-the-test",
      objectApi: { address: new URL(this.#platform.address).host },
      orders: { enabled: false },
    };
    fs.writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  async #writeObjects(): Promise<void> {
    const store = new ObjectStore({ address: this.#platform.address });
    const when = { absent: true } as const;
    const route = {
      name: "post",
      host: "test",
      pathPrefix: "/post/",
      kind: "unsafe",
      timeoutMs: 10_000,
      targetMs: 500,
      targets: [{ service: "app", weight: 1 }],
    };
    const limits = {
      headerBytes: 65_536,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    };
    const services = [{ name: "app", maxConnections: 5000 }];
    await store.put("gateway/main", {
      value: { version: 1, routes: [route], services, limits },
      when,
    });
    const { port } = this.#server.address() as net.AddressInfo;
    const value = {
      bornAt: 1,
      host: LOOPBACK.host,
      port,
      service: "app",
      availabilityZone: "a",
    };
    await store.put("servers/app-1", { value, when });
    await store.close();
  }
}

async function isReady(port: number): Promise<boolean> {
  const res = await fetch(`http://${LOOPBACK.host}:${port}/`);
  await res.arrayBuffer();
  return res.ok;
}
