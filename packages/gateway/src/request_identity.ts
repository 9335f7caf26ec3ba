/**
 * Recognizes a request that comes again.
 * @module
 */
import { hashBytes, hashText, toRequestPart } from "@bitternfall/dispatch";
import { indexHeaders } from "./headers.ts";
import type { GatewayRequest } from "./model.ts";

/**
 * Hashes what a request shares with its repetitions: method, host, path, caller and body.
 * Each repetition has an id, a deadline and a connection of its own. The hash is a part of
 * the request, as crash reports name them.
 */
export function hashRequest(
  { method, path, headers, body, workspace }: Pick<
    GatewayRequest,
    "method" | "path" | "headers" | "body" | "workspace"
  >,
): number {
  const fields = indexHeaders(headers);
  const host = fields.get("host") ?? "";
  // Where there are workspaces, the headers have no key.
  const caller = workspace?.name ?? fields.get("authorization") ?? "";
  const head = hashText([method, host, path, caller].join("\n"));
  return toRequestPart(body === undefined ? head : hashBytes(body, head));
}
