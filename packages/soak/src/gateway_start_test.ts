import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { EVENTS } from "@bitternfall/events";
import {
  acceptsConnections,
  findFreePorts,
  findScript,
  LoggedProcess,
  occupyPort,
} from "@bitternfall/experiment";
import { PlatformStandIn } from "@bitternfall/stand-ins";
import { createSettings } from "./soak_config.ts";
import { SoakRegistry } from "./soak_registry.ts";

const ROLES = ["caller", "ready", "peer", "metrics"] as const;
/** Connections tried to a listener that must stay closed. */
const TRIES = 20;

let directory: string;
let file: string;
let store: PlatformStandIn;
let gateway: LoggedProcess | undefined;
let ports: { [role in typeof ROLES[number]]: number };
const closers: (() => unknown)[] = [];

beforeEach(async () => {
  directory = fs.mkdtempSync(path.join(os.tmpdir(), "gateway-start-"));
  file = path.join(directory, "settings.json");
  store = new PlatformStandIn({ random: Math.random });
  await store.listen();
  const [caller, ready, peer, metrics] = await findFreePorts(ROLES.length);
  ports = { caller: caller!, ready: ready!, peer: peer!, metrics: metrics! };
});
afterEach(async () => {
  await gateway?.stop();
  gateway = undefined;
  for (const close of closers.splice(0)) await close();
  await store.close();
  fs.rmSync(directory, { recursive: true });
});

function getSettings(fields: object = {}): string {
  const settings = createSettings({
    id: "vm-1",
    availabilityZone: "a",
    storePort: Number(new URL(store.address).port),
    peerPort: ports.peer,
    linesPerSecond: 100,
    logLevel: "info",
    ports,
  });
  return JSON.stringify({ ...settings, ...fields });
}

function launch(nodeArgs: readonly string[] = []): LoggedProcess {
  const script = findScript("@bitternfall/gateway", "main.js");
  gateway = new LoggedProcess([...nodeArgs, script, "--config", file]);
  return gateway;
}

/** Starts a gateway while one of its ports is in use. */
async function launchBlocked(role: typeof ROLES[number], fields: object = {}) {
  const { port, free } = await occupyPort();
  closers.push(free);
  ports = { ...ports, [role]: port };
  fs.writeFileSync(file, getSettings(fields));
  const gateway = launch();
  const failure = await gateway.waitForEvent(EVENTS.bindFailed.id);
  expect(failure).toMatchObject({ role, port, attempt: 1 });
  return { gateway, free };
}

/** The other listeners of a gateway that accept connections. */
async function listOpen(blocked: string): Promise<string[]> {
  const open = new Set<string>();
  for (let tries = 0; tries < TRIES; tries++) {
    for (const role of ROLES) {
      if (role === blocked) continue;
      if (await acceptsConnections(ports[role])) open.add(role);
    }
  }
  return [...open];
}

/** Whether the store has an entry of a member. */
function hasMember(): boolean {
  return store.keys().some((key) => key.startsWith("bitternfall-members/"));
}

/** Writes settings to a named pipe once a gateway opens it to read them. */
async function feed(beforeWrite = () => {}): Promise<void> {
  const pipe = await fs.promises.open(file, "w");
  beforeWrite();
  await pipe.writeFile(getSettings());
  await pipe.close();
}

describe("a gateway that starts", () => {
  for (const role of ROLES) {
    // Guards against a process that ends, or lives on unready, since a port was in use.
    it(`waits with all listeners closed while its ${role} port is in use, then serves`, async () => {
      const registry = new SoakRegistry(store);
      await registry.start(new AbortController().signal);
      closers.push(() => registry.close());
      const { gateway, free } = await launchBlocked(role);
      expect(await listOpen(role)).toEqual([]);
      expect(hasMember()).toBe(false);
      free();
      await gateway.waitForEvent(EVENTS.daemonReady.id);
      const res = await fetch(`http://127.0.0.1:${ports.ready}/`);
      expect(res.status).toBe(200);
      for (const role of ROLES) {
        expect(await acceptsConnections(ports[role])).toBe(true);
      }
      expect(gateway.listEvents(EVENTS.bindFailed.id)).toHaveLength(1);
    });
  }

  // Guards against a process that lives on though it will never serve.
  it("ends with code 1 and one clear line when its port stays in use", async () => {
    const startup = { bindTimeoutMs: 300 };
    const { gateway } = await launchBlocked("caller", { startup });
    expect(await gateway.ended).toEqual({ code: 1, signal: null });
    expect(gateway.output).toContain(
      `caller listener could not be bound to port ${ports.caller}`,
    );
  });

  // Guards against a drain of listeners that were never open.
  it("ends with code 0 on SIGTERM while a port is in use", async () => {
    const { gateway } = await launchBlocked("caller");
    gateway.kill("SIGTERM");
    expect(await gateway.ended).toEqual({ code: 0, signal: null });
    expect(hasMember()).toBe(false);
  });

  // Guards against a signal that ends a process which has just started.
  it("reloads its settings after a SIGHUP that came before it had read them", async () => {
    childProcess.execFileSync("mkfifo", [file]);
    const gateway = launch();
    await feed(() => {
      gateway.kill("SIGHUP");
      // The gateway has opened the pipe; it reads this file when it reloads.
      fs.rmSync(file);
      fs.writeFileSync(file, getSettings());
    });
    await gateway.waitForEvent(EVENTS.settingsReloaded.id);
    expect(gateway.listEvents(EVENTS.daemonStarted.id)).toHaveLength(1);
  });

  // Guards against a stop that is forgotten, or reported as the end by a signal.
  it("ends with code 0 after a SIGTERM that came before it had read its settings", async () => {
    childProcess.execFileSync("mkfifo", [file]);
    const gateway = launch();
    await feed(() => gateway.kill("SIGTERM"));
    expect(await gateway.ended).toEqual({ code: 0, signal: null });
    expect(hasMember()).toBe(false);
  });

  // Guards against an end whose cause no log line tells.
  it("logs an error that nothing handles before it ends with code 1", async () => {
    fs.writeFileSync(file, getSettings());
    const fail = 'process.on("SIGUSR2", () => { throw new Error("a fault") })';
    const gateway = launch(["--import", `data:text/javascript,${fail}`]);
    await gateway.waitForEvent(EVENTS.daemonStarted.id);
    gateway.kill("SIGUSR2");
    expect(await gateway.ended).toEqual({ code: 1, signal: null });
    const [line] = gateway.listEvents(EVENTS.unexpectedError.id);
    expect(line).toMatchObject({ reason: "a fault" });
  });

  // Guards against a last line that the limit on lines of one event suppresses.
  it("logs the error that ends it after more errors than are logged in a second", async () => {
    fs.writeFileSync(file, getSettings());
    const fail = `process.on("SIGUSR2", () => {
      for (let at = 0; at < 200; at++) Promise.reject(new Error("rejected"));
      setTimeout(() => { throw new Error("a fault") });
    })`;
    const gateway = launch(["--import", `data:text/javascript,${fail}`]);
    await gateway.waitForEvent(EVENTS.daemonStarted.id);
    gateway.kill("SIGUSR2");
    expect(await gateway.ended).toEqual({ code: 1, signal: null });
    const lines = gateway.listEvents(EVENTS.unexpectedError.id);
    // A line that was being written may come after it.
    const reasons = lines.map(({ reason }) => reason);
    expect(reasons.filter((reason) => reason === "a fault")).toHaveLength(1);
  });
});
