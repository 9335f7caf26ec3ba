// Starts gateways with the command and the settings template of the deploy file, and ends them.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as http from "node:http";

const ROOT = path.resolve(import.meta.dirname, "../..");

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Bounds of the small deployments' sheets (plochka-route), as the settings file has them. */
export const BOUNDS = {
  retry_budget_ratio: 0.2,
  budget_slack: 54,
  budget_window_s: 10,
  lease_ms: 3000,
  grace_s: 8,
};

export async function freePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Fills the settings template as DEPLOY.md says; only what our template uses. */
function render(template, values) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, asJson) => {
    const value = name.split(".").reduce((at, key) => at?.[key], values);
    if (value === undefined) return "";
    return asJson ? JSON.stringify(value) : String(value);
  });
}

/** `run` and `template` of the one role in deploy/system.toml. */
function readDeployFile() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const get = (name) => new RegExp(`^${name} = "([^"]*)"`, "m").exec(text)[1];
  return { command: get("run").split(" "), template: get("template") };
}

/** A gateway as a process. */
export class Gateway {
  log = [];

  /** `peerAddress`: where the other gateways reach this one, if not at its own port. */
  constructor({ id, zone, storePort, record, folder, peerAddress }) {
    Object.assign(this, { id, zone, storePort, record, folder, peerAddress });
  }

  async start() {
    const { command, template } = readDeployFile();
    this.ports ??= {
      front: await freePort(),
      ready: await freePort(),
      peer: await freePort(),
      metrics: await freePort(),
    };
    const file = path.join(this.folder, `${this.id}.json`);
    const text = fs.readFileSync(path.join(ROOT, template), "utf8");
    const settings = JSON.parse(
      render(text, {
        node_name: this.id,
        zone: this.zone,
        ip: "127.0.0.1",
        limits: { cpu_share: 0.675 },
        listen: {
          front: `127.0.0.1:${this.ports.front}`,
          ready: `127.0.0.1:${this.ports.ready}`,
        },
        internal_port_range: [this.ports.peer, this.ports.metrics],
        platform: { address: `127.0.0.1:${this.storePort}` },
        bounds: BOUNDS,
      }),
    );
    if (this.peerAddress !== undefined) settings.peerAddress = this.peerAddress(this.ports.peer);
    fs.writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = command;
    const { PATH, HOME, LANG = "C.UTF-8" } = process.env;
    this.child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BITTERNFALL_NODE_FILE: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const { child } = this;
    this.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.record?.(`gateway ${this.id} ended: code ${code}, signal ${signal}`);
        resolve({ code, signal });
      })
    );
    let rest = "";
    child.stdout.on("data", (chunk) => {
      const lines = (rest + chunk).split("\n");
      rest = lines.pop();
      this.log.push(...lines);
      for (const line of lines) this.onLog?.(line);
    });
    child.stderr.on("data", (chunk) => this.log.push(String(chunk)));
    const dump = process.env.REVIEW_LOGS;
    if (dump) {
      const out = fs.createWriteStream(path.join(dump, `${this.id}.log`), { flags: "a" });
      child.stdout.pipe(out);
    }
  }

  signal(name) {
    this.record?.(`${name} to gateway ${this.id}`);
    this.child.kill(name);
  }

  async isReady() {
    return await new Promise((resolve) => {
      const req = http.get({
        host: "127.0.0.1",
        port: this.ports.ready,
        path: "/readyz",
        agent: false,
        timeout: 500,
      }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }

  async whenReady(ms = 15_000) {
    const until = performance.now() + ms;
    while (!await this.isReady()) {
      if (performance.now() > until) throw new Error(`${this.id} is not ready`);
      await sleep(50);
    }
  }

  async end() {
    if (this.child === undefined) return;
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await this.exited;
  }
}

/** A TCP link that can be cut: then it is silent, and connections that were open stay so. */
export class Link {
  isCut = false;
  pairs = new Set();

  async listen() {
    this.server = net.createServer((near) => {
      const far = net.connect(this.target, "127.0.0.1");
      const pair = { near, far, isDead: this.isCut };
      this.pairs.add(pair);
      const pass = (from, to) => {
        from.on("data", (chunk) => pair.isDead || to.write(chunk));
        from.on("error", () => {});
        from.on("close", () => {
          this.pairs.delete(pair);
          if (!pair.isDead) to.destroy();
        });
      };
      pass(near, far);
      pass(far, near);
    });
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.port = this.server.address().port;
  }

  cut() {
    this.isCut = true;
    for (const pair of this.pairs) pair.isDead = true;
  }

  heal() {
    this.isCut = false;
  }

  close() {
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
    this.server.close();
  }
}

/** Runs a case: `body` gets the tools and returns whether the rule held, or throws. */
export async function runCase(folder, body) {
  const startedAt = performance.now();
  const lines = [];
  const record = (line) =>
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);
  const temp = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  const cleanups = [];
  const troubled = process.env.TROUBLE !== "0";
  let code = 2;
  const limit = setTimeout(() => {
    record("gave up: the case took too long");
    void finish();
  }, 112_000);
  let finished = false;
  const finish = async () => {
    if (finished) return;
    finished = true;
    clearTimeout(limit);
    for (const cleanup of cleanups.reverse()) await cleanup();
    fs.rmSync(temp, { recursive: true, force: true });
    const result = ["held", "broken", "could not run"][code];
    record(`result: ${result}`);
    fs.writeFileSync(path.join(folder, "record.txt"), lines.join("\n") + "\n");
    console.log(`${path.basename(folder)}: ${result}${troubled ? "" : " (TROUBLE=0)"}`);
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => void finish());
  try {
    const held = await body({
      record,
      temp,
      troubled,
      onEnd: (cleanup) => cleanups.push(cleanup),
    });
    code = held ? 0 : 1;
  } catch (err) {
    record(`error: ${err.stack}`);
  }
  await finish();
}
