/**
 * Derives the fault plan of a soak from its seed. Faults come in series of one kind, and
 * series overlap.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";

/** Kinds of fault. */
export enum SoakFault {
  KillVm = "kill-vm",
  PauseVm = "pause-vm",
  /** SIGTERM, and a new start once the process has exited. */
  RestartVm = "restart-vm",
  /** Changes the settings file and sends SIGHUP. */
  ReloadVm = "reload-vm",
  SilencePeer = "silence-peer",
  ResetPeer = "reset-peer",
  DelayPeer = "delay-peer",
  SilenceStoreLink = "silence-store-link",
  ResetStoreLink = "reset-store-link",
  DelayStoreLink = "delay-store-link",
  StoreDown = "store-down",
  StoreSlow = "store-slow",
  LoseStoreReplies = "lose-store-replies",
  SilentWatch = "silent-watch",
  SilenceServer = "silence-server",
  ResetServer = "reset-server",
  DelayServer = "delay-server",
  /** The server stops with all its requests, and restarts under the same ID. */
  CrashServer = "crash-server",
  DrainServer = "drain-server",
  RefusingServer = "refusing-server",
  FailingServer = "failing-server",
  ResettingServer = "resetting-server",
  HangingServer = "hanging-server",
  /** The server closes the connection in the middle of a stream's event. */
  CuttingServer = "cutting-server",
  /** The server responds without the seal header. */
  UnsealedServer = "unsealed-server",
  /** The server responds with the ID of another request. */
  CrossingServer = "crossing-server",
  ChangeConfig = "change-config",
  /** The server names a limit of requests in its answers. */
  LimitedServer = "limited-server",
  /** Some streams' prompts have a part that ends each server which begins to write. */
  CrashingPrompts = "crashing-prompts",
  /** Kills all gateways at once. */
  KillAllVms = "kill-all-vms",
  /** A decode server ends and starts again with another software version. */
  UpgradeServer = "upgrade-server",
  /** Gateways are cut from all servers. */
  LoseLinks = "lose-links",
  /** The server says in its answers that it leaves, while its entry does not; then it ends. */
  LeavingServer = "leaving-server",
  /** The server refuses requests and says for how long it wants none. */
  PausingServer = "pausing-server",
  /** The next start of a gateway meets one of its ports in use. */
  BusyPort = "busy-port",
  /** A gateway gets changed settings and SIGHUP just after its start. */
  EarlyReload = "early-reload",
  /** Callers post large bodies to a gateway at once. */
  LargeBodies = "large-bodies",
  /** Callers read large answers of a gateway slowly; half of the time it is restarted. */
  SlowReaders = "slow-readers",
  /** A gateway is restarted under long work; mostly it is short of processor time. */
  StopUnderWork = "stop-under-work",
  /** A faulty server answers callers of a gateway without end. */
  FloodedAnswers = "flooded-answers",
  /** The object API answers a gateway without end. */
  FloodedObjects = "flooded-objects",
  /** Faulty callers send a gateway bytes without end. */
  FloodingCallers = "flooding-callers",
  /** Callers of one workspace send many times as many requests as usual. */
  CallerSurge = "caller-surge",
}

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: SoakFault;
  /** Start, in milliseconds since the load began. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random number in [0, 1) that selects the target, and how a link is silenced. */
  readonly pick: number;
}

/** Kinds that disturb the next start of a gateway. */
export const START_FAULTS = [SoakFault.BusyPort, SoakFault.EarlyReload];
/** Kinds in which gateways run as on VMs of little memory. */
export const BODY_FAULTS = [SoakFault.LargeBodies, SoakFault.SlowReaders];
/** Kinds in which gateways take requests after SIGTERM for as long as by default. */
export const STOP_FAULTS = [SoakFault.StopUnderWork];
/** Kinds of bytes without end, likewise. */
export const FLOOD_FAULTS = [
  SoakFault.FloodedAnswers,
  SoakFault.FloodedObjects,
  SoakFault.FloodingCallers,
];
/** Kinds in which callers have keys of workspaces. */
export const WORKSPACE_FAULTS = [SoakFault.CallerSurge];
/** Kinds that are only drawn where they are asked for. */
export const KINDS_ON_REQUEST: ReadonlySet<SoakFault> = new Set([
  ...START_FAULTS,
  ...BODY_FAULTS,
  ...STOP_FAULTS,
  ...FLOOD_FAULTS,
  ...WORKSPACE_FAULTS,
]);
const ALL_KINDS = Object.values(SoakFault).filter((kind) =>
  !KINDS_ON_REQUEST.has(kind)
);
/** Kinds with generators of their own, so that they change no other fault of a seed. */
const KINDS_PLANNED_APART = new Set([
  SoakFault.LimitedServer,
  SoakFault.CrashingPrompts,
  SoakFault.KillAllVms,
  SoakFault.UpgradeServer,
  SoakFault.LoseLinks,
  SoakFault.LeavingServer,
  SoakFault.PausingServer,
  ...KINDS_ON_REQUEST,
]);
/** Kinds beside which limits can be checked, since most of them leave the VMs alone. */
export const LIMIT_KINDS: readonly SoakFault[] = [
  SoakFault.LimitedServer,
  SoakFault.KillVm,
  SoakFault.SilencePeer,
  SoakFault.ReloadVm,
  SoakFault.RefusingServer,
  SoakFault.FailingServer,
  SoakFault.HangingServer,
  SoakFault.ChangeConfig,
];
/** Kinds that make servers refuse or fail requests while the VMs that retry them change. */
export const RETRY_KINDS: readonly SoakFault[] = [
  SoakFault.KillVm,
  SoakFault.RestartVm,
  SoakFault.ReloadVm,
  SoakFault.SilencePeer,
  SoakFault.RefusingServer,
  SoakFault.FailingServer,
  SoakFault.ResettingServer,
  SoakFault.CrashServer,
];
/** Kinds beside crashing prompts: servers that end anyway, and VMs that come and go. */
export const PROMPT_KINDS: readonly SoakFault[] = [
  SoakFault.CrashingPrompts,
  SoakFault.KillAllVms,
  SoakFault.KillVm,
  SoakFault.PauseVm,
  SoakFault.RestartVm,
  SoakFault.SilencePeer,
  SoakFault.ResetPeer,
  SoakFault.StoreSlow,
  SoakFault.CrashServer,
  SoakFault.ResettingServer,
];
/** Kinds beside servers of several versions: streams that break, and VMs that end. */
export const VERSION_KINDS: readonly SoakFault[] = [
  SoakFault.UpgradeServer,
  SoakFault.KillVm,
  SoakFault.RestartVm,
  SoakFault.SilencePeer,
  SoakFault.ResetPeer,
  SoakFault.SilenceStoreLink,
  SoakFault.CuttingServer,
  SoakFault.ResetServer,
];
/** Kinds beside lost links: VMs that come and go, and servers that fail. */
export const LINK_KINDS: readonly SoakFault[] = [
  SoakFault.LoseLinks,
  SoakFault.KillVm,
  SoakFault.PauseVm,
  SoakFault.RestartVm,
  SoakFault.SilencePeer,
  SoakFault.ResetPeer,
  SoakFault.CrashServer,
  SoakFault.RefusingServer,
  SoakFault.ResettingServer,
  SoakFault.ChangeConfig,
];
/** Kinds beside servers that speak of themselves: VMs that come and go, other refusals. */
export const NOTICE_KINDS: readonly SoakFault[] = [
  SoakFault.LeavingServer,
  SoakFault.PausingServer,
  SoakFault.KillVm,
  SoakFault.PauseVm,
  SoakFault.RestartVm,
  SoakFault.SilencePeer,
  SoakFault.DrainServer,
  SoakFault.CrashServer,
  SoakFault.FailingServer,
  SoakFault.ResetServer,
  SoakFault.ChangeConfig,
];
/** Kinds beside starts that are disturbed; the object API is left alone, so that each counts. */
export const START_KINDS: readonly SoakFault[] = [
  ...START_FAULTS,
  SoakFault.KillVm,
  SoakFault.RestartVm,
  SoakFault.ReloadVm,
  SoakFault.SilencePeer,
  SoakFault.CrashServer,
  SoakFault.ChangeConfig,
];
/** Kinds beside large bodies and answers: VMs that come and go, and servers that fail. */
export const BODY_KINDS: readonly SoakFault[] = [
  ...BODY_FAULTS,
  SoakFault.KillVm,
  SoakFault.RestartVm,
  SoakFault.ReloadVm,
  SoakFault.FailingServer,
  SoakFault.RefusingServer,
  SoakFault.CrashServer,
  SoakFault.ChangeConfig,
];
/** Kinds beside stops under long work; all of them are planned work. */
export const STOP_KINDS: readonly SoakFault[] = [
  ...STOP_FAULTS,
  SoakFault.ReloadVm,
  SoakFault.DrainServer,
  SoakFault.ChangeConfig,
];
/** Kinds beside floods: gateways that restart and reload. */
export const FLOOD_KINDS: readonly SoakFault[] = [
  ...FLOOD_FAULTS,
  SoakFault.RestartVm,
  SoakFault.ReloadVm,
];
/** Kinds beside surges: gateways that come and go, and configurations that change keys. */
export const WORKSPACE_KINDS: readonly SoakFault[] = [
  ...WORKSPACE_FAULTS,
  SoakFault.KillVm,
  SoakFault.RestartVm,
  SoakFault.ReloadVm,
  SoakFault.ChangeConfig,
];
/** Mean time between the starts of consecutive series; short enough that series overlap. */
const MEAN_SERIES_INTERVAL_MS = 1200;
const MAX_FAULTS_PER_SERIES = 4;
/** Longest time between the starts of consecutive faults of a series. */
const MAX_GAP_MS = 1500;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 3500;
/** No series starts in this time after the load begins. */
const QUIET_START_MS = 1000;
const LIMIT_SEED_OFFSET = 15_485_863;
const MEAN_LIMIT_INTERVAL_MS = 3000;
/** Longer than the time for which a limit has to be named before it is checked. */
const MIN_LIMIT_MS = 9000;
const MAX_LIMIT_MS = 12_000;
const UPGRADE_SEED_OFFSET = 49_979_687;
const MEAN_UPGRADE_INTERVAL_MS = 1500;
const MAX_UPGRADE_MS = 800;
const LINK_SEED_OFFSET = 67_867_967;
const MEAN_LINK_INTERVAL_MS = 7000;
/** Longer than the time after which callers have to be served again. */
const MIN_LINK_MS = 4500;
const MAX_LINK_MS = 8000;
const MAX_CUT_VMS = 3;
/** Leaving servers take longer than the time after which they may get nothing. */
const NOTICES: PlannedTogether = {
  kinds: [SoakFault.LeavingServer, SoakFault.PausingServer],
  seedOffset: 86_028_121,
  meanIntervalMs: 2000,
  minMs: 5000,
  maxMs: 8000,
};
/** Interval beside all kinds, where most servers would be out otherwise. */
const MEAN_NOTICE_INTERVAL_OF_ALL_MS = 8000;
const STARTS: PlannedTogether = {
  kinds: START_FAULTS,
  seedOffset: 104_395_301,
  meanIntervalMs: 2500,
  minMs: 300,
  maxMs: 3000,
};
const BODIES: PlannedTogether = {
  kinds: BODY_FAULTS,
  seedOffset: 122_949_823,
  meanIntervalMs: 3000,
  minMs: 1500,
  maxMs: 4000,
};
const STOPS: PlannedTogether = {
  kinds: STOP_FAULTS,
  seedOffset: 141_650_939,
  meanIntervalMs: 2000,
  minMs: 0,
  maxMs: 0,
};
const FLOODS: PlannedTogether = {
  kinds: FLOOD_FAULTS,
  seedOffset: 141_650_939,
  meanIntervalMs: 2500,
  minMs: 1500,
  maxMs: 4000,
};
const SURGES: PlannedTogether = {
  kinds: WORKSPACE_FAULTS,
  seedOffset: 160_481_183,
  meanIntervalMs: 4000,
  minMs: 1000,
  maxMs: 3000,
};
const PROMPT_SEED_OFFSET = 32_452_843;
const MEAN_PROMPT_INTERVAL_MS = 6000;
/** Longer than five crashes and the time after them until requests are counted. */
const MIN_PROMPT_MS = 12_000;
const MAX_PROMPT_MS = 20_000;
/** Time from the first crashing prompt until all gateways are killed. */
const MAX_KILL_ALL_DELAY_MS = 10_000;
const MAX_KILL_ALL_MS = 1500;

/** Returns the faults of one soak, ordered by start. The same seed gives the same plan. */
export function planSoak(
  options: {
    seed: number;
    durationMs: number;
    /** Kinds to draw from; all by default. */
    kinds?: readonly SoakFault[];
  },
): PlannedFault[] {
  const { kinds: allKinds = ALL_KINDS } = options;
  const kinds = allKinds.filter((kind) => !KINDS_PLANNED_APART.has(kind));
  // The order of the draws is part of what a seed means: kept regression seeds rely on it.
  const random = createRandom(options.seed);
  const faults: PlannedFault[] = [];
  for (let seriesAtMs = QUIET_START_MS; seriesAtMs < options.durationMs;) {
    seriesAtMs += -Math.log(1 - random()) * MEAN_SERIES_INTERVAL_MS;
    const kind = kinds[Math.floor(random() * kinds.length)]!;
    const count = 1 + Math.floor(random() * MAX_FAULTS_PER_SERIES);
    const gapMs = random() * MAX_GAP_MS;
    const firstPick = random();
    for (let index = 0; index < count; index++) {
      // Each fault of a series hits the series' first target or a random one.
      const pick = random() < 0.5 ? firstPick : random();
      const durationMs = MIN_FAULT_MS +
        random() * (MAX_FAULT_MS - MIN_FAULT_MS);
      faults.push({ kind, atMs: seriesAtMs + index * gapMs, durationMs, pick });
    }
  }
  if (allKinds.includes(SoakFault.LimitedServer)) {
    faults.push(...planLimits(options));
  }
  if (allKinds.includes(SoakFault.CrashingPrompts)) {
    faults.push(...planCrashingPrompts(options));
  }
  if (allKinds.includes(SoakFault.UpgradeServer)) {
    faults.push(...planUpgrades(options));
  }
  if (allKinds.includes(SoakFault.LoseLinks)) {
    faults.push(...planLostLinks(options));
  }
  const notices = options.kinds === undefined
    ? { ...NOTICES, meanIntervalMs: MEAN_NOTICE_INTERVAL_OF_ALL_MS }
    : NOTICES;
  for (const together of [notices, STARTS, BODIES, STOPS, FLOODS, SURGES]) {
    faults.push(
      ...[...planTogether(options, together)].filter(({ kind }) =>
        allKinds.includes(kind)
      ),
    );
  }
  return faults.filter(({ atMs }) => atMs < options.durationMs)
    .sort((a, b) => a.atMs - b.atMs);
}

function* planLimits(
  { seed, durationMs }: { seed: number; durationMs: number },
): Iterable<PlannedFault> {
  const random = createRandom(seed + LIMIT_SEED_OFFSET);
  for (let atMs = QUIET_START_MS; atMs < durationMs;) {
    yield {
      kind: SoakFault.LimitedServer,
      atMs,
      durationMs: MIN_LIMIT_MS + random() * (MAX_LIMIT_MS - MIN_LIMIT_MS),
      pick: random(),
    };
    atMs += -Math.log(1 - random()) * MEAN_LIMIT_INTERVAL_MS;
  }
}

/** Plans crashing prompts, and with half of them a kill of all VMs. */
function* planCrashingPrompts(
  { seed, durationMs }: { seed: number; durationMs: number },
): Iterable<PlannedFault> {
  const random = createRandom(seed + PROMPT_SEED_OFFSET);
  for (let atMs = QUIET_START_MS; atMs < durationMs;) {
    yield {
      kind: SoakFault.CrashingPrompts,
      atMs,
      durationMs: MIN_PROMPT_MS + random() * (MAX_PROMPT_MS - MIN_PROMPT_MS),
      pick: random(),
    };
    const killAtMs = atMs + random() * MAX_KILL_ALL_DELAY_MS;
    const killMs = random() * MAX_KILL_ALL_MS;
    const pick = random();
    if (pick < 0.5) {
      yield {
        kind: SoakFault.KillAllVms,
        atMs: killAtMs,
        durationMs: killMs,
        pick,
      };
    }
    atMs += -Math.log(1 - random()) * MEAN_PROMPT_INTERVAL_MS;
  }
}

/** Plans cuts of one to three gateways at once. */
function* planLostLinks(
  { seed, durationMs }: { seed: number; durationMs: number },
): Iterable<PlannedFault> {
  const random = createRandom(seed + LINK_SEED_OFFSET);
  for (let atMs = QUIET_START_MS; atMs < durationMs;) {
    const cutMs = MIN_LINK_MS + random() * (MAX_LINK_MS - MIN_LINK_MS);
    const count = 1 + Math.floor(random() * MAX_CUT_VMS);
    for (let index = 0; index < count; index++) {
      yield {
        kind: SoakFault.LoseLinks,
        atMs,
        durationMs: cutMs,
        pick: random(),
      };
    }
    atMs += -Math.log(1 - random()) * MEAN_LINK_INTERVAL_MS;
  }
}

/** Kinds of which one fault each begins at the same times. */
interface PlannedTogether {
  readonly kinds: readonly SoakFault[];
  readonly seedOffset: number;
  readonly meanIntervalMs: number;
  readonly minMs: number;
  readonly maxMs: number;
}

function* planTogether(
  { seed, durationMs }: { seed: number; durationMs: number },
  { kinds, seedOffset, meanIntervalMs, minMs, maxMs }: PlannedTogether,
): Iterable<PlannedFault> {
  const random = createRandom(seed + seedOffset);
  for (let atMs = QUIET_START_MS; atMs < durationMs;) {
    for (const kind of kinds) {
      yield {
        kind,
        atMs,
        durationMs: minMs + random() * (maxMs - minMs),
        pick: random(),
      };
    }
    atMs += -Math.log(1 - random()) * meanIntervalMs;
  }
}

function* planUpgrades(
  { seed, durationMs }: { seed: number; durationMs: number },
): Iterable<PlannedFault> {
  const random = createRandom(seed + UPGRADE_SEED_OFFSET);
  for (let atMs = QUIET_START_MS; atMs < durationMs;) {
    yield {
      kind: SoakFault.UpgradeServer,
      atMs,
      durationMs: random() * MAX_UPGRADE_MS,
      pick: random(),
    };
    atMs += -Math.log(1 - random()) * MEAN_UPGRADE_INTERVAL_MS;
  }
}
