// Clients of the sheets: each attempt on a connection of its own, with its own id.
import * as http from "node:http";
import { sleep } from "./fleet.js";

let count = 0;
export const newId = () => (0x1000000 + ++count).toString(16) + Math.random().toString(16).slice(2, 8);

/** One client attempt; resolves with its status (0: no complete answer) and seal. */
export function attempt({ port, method, host, path, body, deadlineMs, headers = {}, signal }) {
  const requestId = newId();
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const done = (result) => resolve({ requestId, sentAt, endedAt: performance.now(), ...result });
    const req = http.request({
      host: "127.0.0.1",
      port,
      method,
      path,
      agent: false,
      signal,
      headers: {
        Host: host,
        "X-Request-Id": requestId,
        "X-Deadline-Ms": String(deadlineMs),
        ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", () => {});
      res.on("close", () =>
        done({
          status: res.complete ? res.statusCode : 0,
          head: res.statusCode,
          seal: res.headers["x-response-seal"],
          retryAfter: res.headers["retry-after"],
          answerId: res.headers["x-request-id"],
          body: Buffer.concat(chunks).toString(),
        }));
    });
    const timer = setTimeout(() => req.destroy(), deadlineMs + 1500);
    req.on("close", () => clearTimeout(timer));
    req.on("error", (err) => done({ status: 0, error: err.message }));
    req.end(body);
  });
}

/** Calls `send` about `perSecond` times a second until `until`; resolves when all have ended. */
export async function sendAtRate(perSecond, until, send) {
  const pending = [];
  let next = performance.now();
  while (performance.now() < until) {
    pending.push(send());
    next += (1000 / perSecond) * (0.5 + Math.random());
    await sleep(Math.max(0, next - performance.now()));
  }
  return await Promise.all(pending);
}
