import * as fs from "node:fs";
import * as https from "node:https";
import * as os from "node:os";
import * as path from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as selfsigned from "selfsigned";
import { Listener } from "@bitternfall/connection";
import { startTestDeployment, TEST_KEY } from "./test_deployment.ts";

let directory: string;

interface CertificateFiles {
  readonly certFile: string;
  readonly keyFile: string;
}

async function writeCertificate(name: string): Promise<CertificateFiles> {
  const certificate = await selfsigned.generate(
    [{ name: "commonName", value: name }],
    {
      extensions: [{
        name: "subjectAltName",
        altNames: [{ type: 7, ip: "127.0.0.1" }],
      }],
    },
  );
  const files = {
    certFile: path.join(directory, "cert.pem"),
    keyFile: path.join(directory, "key.pem"),
  };
  fs.writeFileSync(files.keyFile, certificate.private);
  fs.writeFileSync(files.certFile, certificate.cert);
  return files;
}

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
});
afterAll(() => fs.rmSync(directory, { recursive: true }));

describe("TLS", () => {
  it("loads a changed certificate without a restart", async () => {
    const tls = await writeCertificate("first");
    const listener = new Listener(
      { host: "127.0.0.1", port: 0, tls },
      (_, res) => res.end("ok"),
    );
    const port = await listener.listen();
    expect(await readCommonName(port)).toBe("first");
    await writeCertificate("second");
    await expect.poll(() => readCommonName(port), { timeout: 5000 }).toBe(
      "second",
    );
    await listener.close();
  });

  it("secures the connections of callers and peers of a deployment", async () => {
    const files = await writeCertificate("entry");
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
