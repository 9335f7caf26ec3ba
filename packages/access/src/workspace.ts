/**
 * Workspaces as a configuration declares them.
 * @module
 */

/** What a quota counts. */
export enum QuotaUnit {
  Requests = "requests",
  /** Prompt tokens and the maximum of output tokens. */
  Tokens = "tokens",
}

/** What a workspace may use over all VMs together. */
export interface QuotaLimit {
  readonly unit: QuotaUnit;
  /** Units a second. */
  readonly perSecond: number;
  /** Units that may be used at once beyond the rate. */
  readonly burst: number;
  /** Tokens that a request without token counts counts as. */
  readonly plainTokens: number;
}

/** A customer of the deployment. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** 0 is the most urgent; goes before the priority of a route. */
  readonly priority?: number | undefined;
  /** Undefined where there is no limit. */
  readonly quota?: QuotaLimit | undefined;
}
