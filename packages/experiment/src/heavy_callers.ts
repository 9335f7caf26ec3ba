/**
 * Callers that send large bodies or heads, each on a connection of its own.
 * @module
 */
import type { Buffer } from "node:buffer";
import * as net from "node:net";

/** What one caller got. */
export interface HeavyAnswer {
  /** 0 if there was no answer. */
  readonly status: number;
  /** Whether all of the answer arrived. */
  readonly isWhole: boolean;
  readonly hasRetryAfter: boolean;
  readonly ms: number;
}

/** Options of {@link postAndRead}. */
export interface PostOptions {
  readonly port: number;
  readonly id: string;
  readonly body: Buffer;
  /** `/post/x` by default. */
  readonly path?: string;
  /** Lines of further headers, each with its end. */
  readonly headerLines?: string;
}

const TIMEOUT_MS = 15_000;
const HEAD_END = "\r\n\r\n";

/** Sends a whole request, and reads the answer only after that. */
export function postAndRead(options: PostOptions): Promise<HeavyAnswer> {
  const { port, id, body, path = "/post/x", headerLines = "" } = options;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const socket = net.connect(port, "127.0.0.1");
    const timer = setTimeout(() => socket.destroy(), TIMEOUT_MS);
    let text = "";
    socket.on("error", () => {});
    socket.pause();
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n` +
        `bitternfall-request-id: ${id}\r\n${headerLines}` +
        `Content-Length: ${body.length}${HEAD_END}`,
    );
    socket.write(body, () => socket.resume());
    socket.on("data", (chunk) => text += chunk.toString("latin1"));
    socket.on("close", () => {
      clearTimeout(timer);
      resolve({ ...readAnswer(text), ms: performance.now() - sentAt });
    });
  });
}

function readAnswer(text: string): Omit<HeavyAnswer, "ms"> {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return { status: 0, isWhole: false, hasRetryAfter: false };
  const head = text.slice(0, end);
  const body = text.slice(end + HEAD_END.length);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  return {
    status: Number(head.slice(9, 12)),
    isWhole: length === undefined
      ? body.endsWith(`0${HEAD_END}`)
      : body.length === Number(length),
    hasRetryAfter: /^retry-after: /im.test(head),
  };
}
