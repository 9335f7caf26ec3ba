/** A client's request on a connection of its own, and what came back. */
import * as crypto from "node:crypto";
import * as http from "node:http";

const HOST = "ficu95.example";

export function createId() {
  return crypto.randomBytes(8).toString("hex");
}

/** Headers of a request for a model. */
export function promptHeaders(parts = [`${createId()}:3000`]) {
  return {
    "X-Model": "m",
    "X-Token-Counts": "3200,72",
    "X-Prompt-Prefix": parts.join(","),
  };
}

/**
 * Sends a request. Resolves with { sentAt, ms, id, path, status, headers, body, isWhole,
 * error }; `status` is 0 without an answer.
 */
export function send(options) {
  const { host, port, path, method = "GET", body, deadlineMs = 4000 } = options;
  const { headers = {}, id = createId(), signal } = options;
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const result = { sentAt, id, path, status: 0, headers: {}, body: "", isWhole: false };
    const finish = (error) => {
      clearTimeout(timer);
      if (error !== undefined) result.error = error;
      resolve({ ...result, ms: Date.now() - sentAt });
    };
    const req = http.request({
      host,
      port,
      path,
      method,
      agent: false,
      signal,
      headers: {
        "Host": HOST,
        "X-Request-Id": id,
        "X-Deadline-Ms": String(deadlineMs),
        ...(body !== undefined && { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, (res) => {
      result.status = res.statusCode;
      result.headers = res.headers;
      res.setEncoding("utf8");
      res.on("data", (text) => result.body += text);
      res.once("end", () => {
        result.isWhole = res.complete;
        finish();
      });
      res.once("error", (err) => finish(err.message));
      res.once("close", () => finish(result.isWhole ? undefined : "cut"));
    });
    const timer = setTimeout(() => {
      req.destroy();
      finish("no answer by the deadline");
    }, deadlineMs + 500);
    req.on("error", (err) => finish(err.message));
    req.end(body);
  });
}

export { HOST };
