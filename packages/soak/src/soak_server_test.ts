import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { SERVERS } from "./soak_config.ts";
import { SoakServer } from "./soak_server.ts";

describe("a server of a soak", () => {
  let server: SoakServer;

  beforeEach(async () => {
    server = new SoakServer(SERVERS[0]!, {
      crashingParts: new Set(),
      crashingBodies: new Set(),
      onCrash: () => {},
    });
    await server.start();
  });

  afterEach(() => server.close());

  // Guards against a limit that gateways are held to although no answer has named it.
  it("names no limit while it is down", async () => {
    let restart = () => {};
    const crashed = server.crash(
      new Promise((resolve) => restart = resolve),
    );
    const naming = server.nameLimit(1);
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(server.namedLimits).toEqual([]);
    restart();
    await crashed;
    const endLimit = await naming;
    expect(server.current.namedLimits).toHaveLength(1);
    endLimit?.();
    expect(server.namedLimits[0]?.until).toBeLessThan(Infinity);
  });
});
