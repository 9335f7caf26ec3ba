/**
 * Checks that no stream holds events of servers of several software versions.
 * @module
 */

/** The part of a stream that one answer brought. */
export interface StreamPart {
  /** Id of the request that brought the stream's first event. */
  readonly streamId: string;
  /** Events as {@link StagedServer} writes them. */
  readonly body: string;
}

/** Returns the ids of the streams whose events name several versions. */
export function findMixedStreams(parts: Iterable<StreamPart>): string[] {
  const versionsByStream = new Map<string, Set<string>>();
  for (const { streamId, body } of parts) {
    const versions = versionsByStream.get(streamId) ?? new Set();
    for (const [, version] of body.matchAll(/^data: .* by (\S+)$/gm)) {
      versions.add(version!);
    }
    versionsByStream.set(streamId, versions);
  }
  return [...versionsByStream].filter(([, versions]) => versions.size > 1)
    .map(([streamId]) => streamId);
}
