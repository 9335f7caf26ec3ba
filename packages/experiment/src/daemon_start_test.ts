import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  acceptsConnections,
  findFreePorts,
  LoggedProcess,
  occupyPort,
} from "./logged_process.ts";
import { findScript } from "./process_group.ts";
import { writeCertificate } from "./test_certificate.ts";

const ROLES = ["caller", "peer", "operator"] as const;
const DAEMON_STARTED = 1001;
const BIND_FAILED = 1011;

let directory: string;
let file: string;
let daemon: LoggedProcess | undefined;
let ports: { [role in typeof ROLES[number]]: number };
const closers: (() => unknown)[] = [];

beforeEach(async () => {
  directory = fs.mkdtempSync(path.join(os.tmpdir(), "daemon-start-"));
  file = path.join(directory, "settings.json");
  const [caller, peer, operator] = await findFreePorts(ROLES.length);
  ports = { caller: caller!, peer: peer!, operator: operator! };
});
afterEach(async () => {
  await daemon?.stop();
  daemon = undefined;
  for (const close of closers.splice(0)) await close();
  fs.rmSync(directory, { recursive: true });
});

function getSettings(fields: object = {}): string {
  const listen = Object.fromEntries(
    ROLES.map((role) => [role, { host: "127.0.0.1", port: ports[role] }]),
  );
  // Nothing listens there: a daemon starts without the platform too.
  const platform = {
    objectApi: "http://127.0.0.1:1",
    vmList: "http://127.0.0.1:1",
  };
  const vm = { id: "vm-1", availabilityZone: "a" };
  const peerKey = "peer-key-of-a-start-test";
  return JSON.stringify({ vm, listen, platform, peerKey, ...fields });
}

function launch(): LoggedProcess {
  const script = findScript("@bitternfall/daemon", "main.js");
  daemon = new LoggedProcess([script, "--config", file]);
  return daemon;
}

describe("a daemon that starts", () => {
  for (const role of ROLES) {
    // Guards against a daemon that ends since a port was in use for a moment.
    it(`waits with all listeners closed while its ${role} port is in use, then serves`, async () => {
      const { port, free } = await occupyPort();
      closers.push(free);
      ports = { ...ports, [role]: port };
      fs.writeFileSync(file, getSettings());
      const daemon = launch();
      const failure = await daemon.waitForEvent(BIND_FAILED);
      expect(failure).toMatchObject({ role, port, attempt: 1 });
      for (const other of ROLES) {
        if (other === role) continue;
        expect(await acceptsConnections(ports[other])).toBe(false);
      }
      free();
      await daemon.waitForEvent(DAEMON_STARTED);
      expect(daemon.listEvents(BIND_FAILED)).toHaveLength(1);
    });
  }

  // Guards against a daemon that never serves and never says so.
  it("ends with code 1 and one clear line when its certificate can't be read in time", async () => {
    const certFile = path.join(directory, "cert.pem");
    const tls = { caller: { certFile, keyFile: certFile } };
    const startup = { bindTimeoutMs: 300 };
    fs.writeFileSync(file, getSettings({ tls, startup }));
    const daemon = launch();
    expect(await daemon.ended).toEqual({ code: 1, signal: null });
    expect(daemon.listEvents(BIND_FAILED)).toHaveLength(1);
    expect(daemon.output).toContain("caller listener could not be bound");
  });

  // Guards against a daemon that ends while its certificate is being replaced.
  it("waits for TLS files that can't be read yet", async () => {
    const files = {
      certFile: path.join(directory, "cert.pem"),
      keyFile: path.join(directory, "key.pem"),
    };
    const tls = {
      caller: files,
      peer: { ...files, caFile: files.certFile },
    };
    fs.writeFileSync(file, getSettings({ tls }));
    const daemon = launch();
    await daemon.waitForEvent(BIND_FAILED);
    await writeCertificate(files, "entry");
    await daemon.waitForEvent(DAEMON_STARTED);
  });

  // Guards against a signal that ends a daemon before it has set its handlers.
  for (
    const [signal, event] of [["SIGHUP", DAEMON_STARTED], [
      "SIGTERM",
      undefined,
    ]] as const
  ) {
    it(`heeds a ${signal} that came before it had read its settings`, async () => {
      childProcess.execFileSync("mkfifo", [file]);
      const daemon = launch();
      // The pipe opens once the daemon opens it to read the settings.
      const pipe = await fs.promises.open(file, "w");
      daemon.kill(signal);
      await pipe.writeFile(getSettings());
      await pipe.close();
      if (event !== undefined) await daemon.waitForEvent(event);
      else expect(await daemon.ended).toEqual({ code: 0, signal: null });
    });
  }

  // Guards against a daemon that a SIGHUP ends.
  it("keeps serving after a SIGHUP, and ends with code 0 on SIGTERM", async () => {
    fs.writeFileSync(
      file,
      getSettings({ shutdown: { balancerLagMs: 0, graceMs: 1000 } }),
    );
    const daemon = launch();
    await daemon.waitForEvent(DAEMON_STARTED);
    daemon.kill("SIGHUP");
    daemon.kill("SIGTERM");
    expect(await daemon.ended).toEqual({ code: 0, signal: null });
  });
});
