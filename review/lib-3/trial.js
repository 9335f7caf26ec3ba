// What the scripts share: a record of the trial, gateways and servers that are ended with it,
// and its verdict as an exit code.
import fs from "node:fs";
import os from "node:os";
import path from "node:path";
import { findPorts, Gateway, makeFields } from "./gateway.js";
import { Server } from "./servers.js";
import { Store } from "./store.js";

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export class Trial {
  hasTrouble = process.env.TROUBLE !== "0";
  gateways = [];
  servers = [];
  store = new Store();
  #record;
  startedAt = Date.now();

  constructor(folder) {
    this.#record = fs.openSync(path.join(folder, "record.txt"), "w");
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    this.note(this.hasTrouble ? "with the disruption" : "without the disruption");
  }

  get ms() {
    return Date.now() - this.startedAt;
  }

  note(text) {
    fs.writeSync(this.#record, `${(this.ms / 1000).toFixed(3).padStart(8)}  ${text}\n`);
  }

  async addGateway(name, options = {}) {
    const ip = "127.0.0.1";
    const [front, ready, peer, metrics] = await findPorts(ip, 4);
    const fields = makeFields({
      name,
      zone: "z-a",
      ip,
      ports: { front, ready, peer, metrics },
      store: this.store.address,
      ...options,
    });
    const gateway = new Gateway({
      folder: this.folder,
      fields,
      onLine: (line) => this.note(line),
    });
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  async addServer(options) {
    const server = new Server({ peers: this.servers, ...options });
    await server.listen();
    server.onChange = () => this.writeEntry(server);
    this.servers.push(server);
    this.writeEntry(server);
    return server;
  }

  /** An entry changes only when more than its number of heartbeats changes. */
  writeEntry(server) {
    const { entry } = server;
    const { sequence: _, ...known } = this.store.get("servers", server.id)?.spec ?? {};
    const { sequence: __, ...stated } = entry;
    if (JSON.stringify(known) === JSON.stringify(stated)) return;
    this.note(`entry of ${server.id}: ${entry.state}${entry.stage ? `, ${entry.stage}` : ""}`);
    this.store.set("servers", server.id, entry);
  }

  /** Waits for a condition; the trial can't run without it. */
  async until(what, check, ms = 20_000) {
    const end = Date.now() + ms;
    for (;;) {
      const result = await check();
      if (result) return result;
      if (Date.now() > end) throw new Error(`waited in vain for: ${what}`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Runs the trial, ends all that it started, and exits with its verdict. */
  async run(body) {
    let verdict = NOT_RUN;
    try {
      await this.store.listen("127.0.0.1");
      verdict = await body(this);
    } catch (err) {
      this.note(`could not run: ${err.stack}`);
    }
    for (const gateway of this.gateways) gateway.kill("SIGKILL");
    await Promise.all(this.gateways.map((gateway) => gateway.whenEnded()));
    if (process.env.KEEP === "1") console.log(this.folder);
    else fs.rmSync(this.folder, { recursive: true, force: true });
    this.note(`verdict: ${["the rule held", "the rule was broken", "could not run"][verdict]}`);
    fs.closeSync(this.#record);
    process.exit(verdict);
  }
}
