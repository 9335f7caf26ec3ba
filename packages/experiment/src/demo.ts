/**
 * `npm run demo`: starts stand-ins and two entry VMs and checks model responses, plain
 * services, a record change, a caller that disconnects and a drain.
 * @module
 */
import * as childProcess from "node:child_process";
import process from "node:process";
import * as util from "node:util";
import { getMessage } from "@bitternfall/errors";
import { getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { cac } from "cac";
import { callModel, callService } from "./client.ts";
import { Deployment, OPERATOR_TOKEN } from "./deployment.ts";
import { findScript } from "./process_group.ts";
import {
  applyRecords,
  createAssignment,
  createModelService,
  createPlainService,
} from "./records.ts";
import { exitAfter, ResultLines } from "./report_lines.ts";

const CALLER_KEY = "key-of-office-7";
/** Longest time until the decode slot of a caller that disconnected is free. */
const MAX_FREE_DELAY_MS = 3000;
/** Model requests in flight while a VM drains. */
const CALLS_DURING_DRAIN = 12;

async function runCli(
  deployment: Deployment,
  args: readonly string[],
): Promise<string> {
  const env = {
    ...process.env,
    BITTERNFALL_OPERATOR: deployment.vms[0]!.operatorUrl,
    BITTERNFALL_TOKEN: OPERATOR_TOKEN,
  };
  const script = findScript("@bitternfall/cli", "main.js");
  const { stdout } = await util.promisify(childProcess.execFile)(
    process.execPath,
    [script, ...args],
    { env },
  );
  return stdout;
}

async function startDemoDeployment(): Promise<Deployment> {
  const deployment = await Deployment.start({
    zones: ["sofia-a", "sofia-b"],
    daemons: 2,
    engines: {
      "planner-lm": [
        { id: "prefill-1", role: "prefill", availabilityZone: "sofia-a" },
        { id: "prefill-2", role: "prefill", availabilityZone: "sofia-b" },
        { id: "decode-1", role: "decode", availabilityZone: "sofia-a" },
        { id: "decode-2", role: "decode", availabilityZone: "sofia-b" },
      ],
    },
    services: {
      "planner-app": [
        { id: "app-1", availabilityZone: "sofia-a" },
        { id: "app-2", availabilityZone: "sofia-b" },
      ],
    },
  });
  await applyRecords(deployment, [
    createModelService(deployment, "planner-lm"),
    createPlainService(deployment, "planner-app"),
    {
      kind: "RoutingRecord",
      schemaVersion: 1,
      name: "planner-1",
      models: { planner: "planner-lm" },
      services: ["planner-app"],
    },
    {
      kind: "RoutingRecord",
      schemaVersion: 2,
      name: "planner-2",
      models: [{ model: "planner", service: "planner-lm", priority: 0 }],
      services: [{
        service: "planner-app",
        operations: [{
          methods: ["POST"],
          path: "/claims",
          repeatable: false,
          keyRequired: true,
        }],
      }],
    },
    createAssignment({
      office: "office-7",
      workspace: "plochka",
      routing: "planner-1",
      key: CALLER_KEY,
    }),
  ]);
  return deployment;
}

async function checkModelResponses(
  deployment: Deployment,
  lines: ResultLines,
): Promise<void> {
  const prompt =
    "Bathroom 2.1 m by 1.8 m, walk-in shower, two niches. Write the fitting brief. "
      .repeat(20);
  for (const [index, vm] of deployment.vms.entries()) {
    const streamed = await callModel({
      url: vm.callerUrl,
      key: CALLER_KEY,
      model: "planner",
      prompt,
    });
    const isExpectedText = streamed.whole &&
      streamed.text === getCompletionText(prompt, 512);
    lines.add({
      name: `streamed answer over ${vm.id}, outputs`,
      value: streamed.outputs,
      ok: isExpectedText,
    });
    if (index > 0) continue;
    const complete = await callModel({
      url: vm.callerUrl,
      key: CALLER_KEY,
      model: "planner",
      prompt,
      stream: false,
    });
    lines.add({
      name: `whole answer over ${vm.id}`,
      value: complete.whole,
      ok: complete.text === streamed.text,
    });
  }
}

async function checkServices(
  deployment: Deployment,
  lines: ResultLines,
): Promise<void> {
  const [first, second] = deployment.vms;
  const lookup = await callService({
    url: first!.callerUrl,
    key: CALLER_KEY,
    path: "/planner-app/status/12",
    tag: "lookup",
  });
  lines.add({
    name: "status lookup, ms",
    value: Math.round(lookup.totalMs),
    ok: lookup.status === 200,
  });
  const claim = {
    key: CALLER_KEY,
    path: "/planner-app/claims",
    method: "POST",
    body: '{"household":7}',
    tag: "claim-7",
  };
  const firstResult = await callService({
    ...claim,
    url: first!.callerUrl,
    idempotencyKey: "claim-7",
  });
  const retryResult = await callService({
    ...claim,
    url: second!.callerUrl,
    idempotencyKey: "claim-7",
  });
  lines.add({
    name: "claim registered",
    value: firstResult.outcome,
    ok: firstResult.status === 200,
  });
  lines.add({
    name: "its repeat over the other VM is replayed",
    value: retryResult.replayed,
    ok: retryResult.text === firstResult.text,
  });
  const ledgers = await Promise.all(
    ["app-1", "app-2"].map((id) =>
      deployment.readStandIn<{ tag: string }[]>(id, "_ledger")
    ),
  );
  const runs = ledgers.flat().filter((run) => run.tag === "claim-7").length;
  lines.add({
    name: "times that the claim ran",
    value: runs,
    target: 1,
    ok: runs === 1,
  });
}

async function checkRecords(
  deployment: Deployment,
  lines: ResultLines,
): Promise<void> {
  const assignOutput = await runCli(deployment, [
    "assign",
    "office-7",
    "--routing",
    "planner-2",
    "--json",
  ]);
  const { version } = JSON.parse(assignOutput) as { version: number };
  const startedAt = performance.now();
  await deployment.waitForRecord(
    { kind: "Assignment", name: "office-7" },
    version,
  );
  const ms = Math.round(performance.now() - startedAt);
  lines.add({
    name: "changed record in force on both VMs after, ms",
    value: ms,
    target: 5000,
    ok: ms <= 5000,
  });
  process.stdout.write(
    await runCli(deployment, ["history", "Assignment", "office-7"]),
  );
  process.stdout.write(await runCli(deployment, ["status"]));
  process.stdout.write(await runCli(deployment, ["queue"]));
}

async function checkDisconnectedCaller(
  deployment: Deployment,
  lines: ResultLines,
): Promise<void> {
  const disconnect = new AbortController();
  const prompt = "A long brief, please. len=400";
  const url = deployment.vms[0]!.callerUrl;
  const call = callModel({
    url,
    key: CALLER_KEY,
    model: "planner",
    prompt,
    signal: disconnect.signal,
  });
  await sleep(500);
  const heldBefore = await countHeldStreams(deployment);
  disconnect.abort();
  await call;
  const startedAt = performance.now();
  while (
    await countHeldStreams(deployment) > 0 &&
    performance.now() - startedAt < 2 * MAX_FREE_DELAY_MS
  ) await sleep(20);
  const ms = Math.round(performance.now() - startedAt);
  const ok = heldBefore === 1 && ms <= MAX_FREE_DELAY_MS;
  lines.add({
    name: "slot of a caller that left freed after, ms",
    value: ms,
    target: MAX_FREE_DELAY_MS,
    ok,
  });
}

async function checkGracefulStop(
  deployment: Deployment,
  lines: ResultLines,
): Promise<void> {
  const vm = deployment.vms[1]!;
  const calls = Array.from({ length: CALLS_DURING_DRAIN }, (_, index) => {
    const prompt = `Room ${index}. len=60`;
    return callModel({
      url: vm.callerUrl,
      key: CALLER_KEY,
      model: "planner",
      prompt,
    });
  });
  await sleep(300);
  const code = await deployment.drain(vm.id);
  const cutCount =
    (await Promise.all(calls)).filter((result) => !result.whole).length;
  lines.add({
    name: `requests cut by the graceful stop of ${vm.id}`,
    value: cutCount,
    target: 0,
    ok: cutCount === 0,
  });
  lines.add({
    name: "exit code of the stopped VM",
    value: String(code),
    target: 0,
    ok: code === 0,
  });
}

async function countHeldStreams(deployment: Deployment): Promise<number> {
  let heldCount = 0;
  for (const { id, role } of deployment.spec.engines["planner-lm"]!) {
    if (role === "decode") {
      heldCount +=
        (await deployment.readStandIn<{ held: unknown[] }>(id, "_ledger")).held
          .length;
    }
  }
  return heldCount;
}

function printAddresses(deployment: Deployment): void {
  const [vm] = deployment.vms;
  process.stdout.write(
    [
      "",
      "The deployment stays up until Ctrl-C. Try:",
      `  curl -N ${
        vm!.callerUrl
      }/v1/chat/completions -H 'Authorization: Bearer ${CALLER_KEY}' \\`,
      `    -d '{"model":"planner","stream":true,"messages":[{"role":"user","content":"Quote, please. len=40"}]}'`,
      `  curl ${
        vm!.callerUrl
      }/services/planner-app/status/12 -H 'Authorization: Bearer ${CALLER_KEY}'`,
      `  export BITTERNFALL_OPERATOR=${
        vm!.operatorUrl
      } BITTERNFALL_TOKEN=${OPERATOR_TOKEN}`,
      "  npx bitternfall status",
      "",
    ].join("\n"),
  );
}

async function run(
  options: { json?: boolean; keep?: boolean },
): Promise<number> {
  const lines = new ResultLines({ json: options.json === true });
  const deployment = await startDemoDeployment();
  try {
    await checkModelResponses(deployment, lines);
    await checkServices(deployment, lines);
    await checkRecords(deployment, lines);
    await checkDisconnectedCaller(deployment, lines);
    if (options.keep) {
      printAddresses(deployment);
      await new Promise((resolve) => process.once("SIGINT", resolve));
    } else {
      await checkGracefulStop(deployment, lines);
    }
  } catch (err) {
    lines.add({ name: "demo", value: getMessage(err), ok: false });
  } finally {
    await deployment.stop();
  }
  return lines.close();
}

const cli = cac("demo");
cli.option("--keep", "Stay up and print addresses");
cli.option("--json", "Print JSON lines");
cli.help();
const { options } = cli.parse();
if (!options.help) await exitAfter(() => run(options));
