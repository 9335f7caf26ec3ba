import { EventEmitter, once } from "node:events";
import * as fs from "node:fs";
import * as https from "node:https";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Listener } from "@bitternfall/connection";
import { type CertificateFiles, writeCertificate } from "./test_certificate.ts";
import { startTestDeployment, TEST_KEY } from "./test_deployment.ts";

let directory: string;
let files: CertificateFiles;

/** Returns the common name of the certificate that a port presents. */
function readCommonName(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const req = https.get({
      host: "127.0.0.1",
      port,
      rejectUnauthorized: false,
      agent: false,
    }, (res) => {
      const socket = res.socket as import("node:tls").TLSSocket;
      resolve(String(socket.getPeerCertificate().subject.CN));
      res.resume();
    });
    req.on("error", reject);
  });
}

beforeAll(() => {
  directory = fs.mkdtempSync(path.join(os.tmpdir(), "tls-"));
  files = {
    certFile: path.join(directory, "cert.pem"),
    keyFile: path.join(directory, "key.pem"),
  };
});
afterAll(() => fs.rmSync(directory, { recursive: true }));

describe("TLS", () => {
  it("loads a changed certificate without a restart", async () => {
    await writeCertificate(files, "first");
    const listener = new Listener(
      { host: "127.0.0.1", port: 0, tls: files },
      (_, res) => res.end("ok"),
    );
    const port = await listener.listen();
    expect(await readCommonName(port)).toBe("first");
    await writeCertificate(files, "second");
    await expect.poll(() => readCommonName(port), { timeout: 5000 }).toBe(
      "second",
    );
    await listener.close();
  });

  // Guards against a certificate that stays unused since its key was written after it.
  it("loads a certificate whose key is written after it", async () => {
    await writeCertificate(files, "first");
    const oldKey = fs.readFileSync(files.keyFile);
    const reloads = new EventEmitter();
    const listener = new Listener(
      {
        host: "127.0.0.1",
        port: 0,
        tls: files,
        onTlsReload: () => reloads.emit("reload"),
        onTlsRejected: () => reloads.emit("rejected"),
      },
      (_, res) => res.end("ok"),
    );
    const port = await listener.listen();
    const rejected = once(reloads, "rejected");
    await writeCertificate(files, "second");
    const newKey = fs.readFileSync(files.keyFile);
    fs.writeFileSync(files.keyFile, oldKey);
    await rejected;
    fs.writeFileSync(files.keyFile, newKey);
    await expect.poll(() => readCommonName(port), { timeout: 5000 }).toBe(
      "second",
    );
    await listener.close();
  });

  // Guards against a process that can't stop while a connection has no TLS handshake.
  it("closes a listener with a connection that has begun no handshake", async () => {
    await writeCertificate(files, "first");
    const listener = new Listener({ host: "127.0.0.1", port: 0, tls: files });
    const port = await listener.listen();
    const accepted = once(listener.server, "connection");
    const socket = net.connect({ host: "127.0.0.1", port });
    const socketClosed = once(socket, "close");
    await accepted;
    await listener.close();
    await socketClosed;
  });

  it("secures the connections of callers and peers of a deployment", async () => {
    await writeCertificate(files, "entry");
    const deployment = await startTestDeployment({
      settings: {
        tls: { caller: files, peer: { ...files, caFile: files.certFile } },
      },
    });
    try {
      const port = Number(new URL(deployment.vms[1]!.callerUrl).port);
      const responseBody = await new Promise<string>((resolve, reject) => {
        const req = https.request({
          host: "127.0.0.1",
          port,
          ca: fs.readFileSync(files.certFile),
          method: "POST",
          path: "/v1/completions",
          headers: { authorization: `Bearer ${TEST_KEY}` },
        }, async (res) => {
          let text = "";
          for await (const chunk of res) text += chunk;
          resolve(text);
        });
        req.on("error", reject);
        req.end(JSON.stringify({ model: "planner", prompt: "len=3" }));
      });
      expect(responseBody).toContain("text_completion");
    } finally {
      await deployment.stop();
    }
  });
});
