/**
 * Commands on the verdicts by which gateways block requests. They use the object API, which
 * all gateways follow.
 * @module
 */
import { getMessage } from "@bitternfall/errors";
import * as gateway from "@bitternfall/gateway";
import { ObjectStore, StoreError } from "@bitternfall/platform";
import { CommandError, type CommandFault } from "./api.ts";
import type { Output } from "./output.ts";

/** Lists the verdicts in force. */
export async function showVerdicts(output: Output, url: string): Promise<void> {
  const verdicts = await useStore(url, (api) => gateway.listVerdicts(api));
  output.printTable(verdicts, (all) => ({
    columns: ["service", "verdict", "crashes", "trials", "parts"],
    rows: all.map(({ service, id, crashes, trials, parts }) => [
      service,
      id,
      crashes,
      trials,
      parts.join(","),
    ]),
  }));
}

/** Lifts one verdict. */
export async function liftVerdict(
  output: Output,
  url: string,
  target: { service: string; id: string },
): Promise<void> {
  const isLifted = await useStore(
    url,
    (api) => gateway.liftVerdict(api, target),
  );
  const name = `${target.service} ${target.id}`;
  if (!isLifted) {
    throw new CommandError({ tag: "not_found" }, `no verdict ${name}`);
  }
  output.print(target, `${name} lifted`);
}

/** Runs `run` with the object API at `url`; its errors become {@link CommandError}. */
export async function useStore<T>(
  url: string,
  run: (api: ObjectStore) => Promise<T>,
): Promise<T> {
  const api = new ObjectStore({ address: url.replace(/\/$/, "") });
  try {
    return await run(api);
  } catch (err) {
    if (!(err instanceof StoreError)) throw err;
    throw new CommandError(toFault(err), getMessage(err), { cause: err });
  } finally {
    await api.close();
  }
}

function toFault({ detail }: StoreError): CommandFault {
  if (detail.tag === "conflict") return { ...detail, current: null };
  return { tag: detail.tag === "unknown_fate" ? "unknown" : "unavailable" };
}
