/** An offset is forgotten after this time, since its peer may be gone. */
const FORGET_AFTER_MS = 3_000;

/** Table offsets that peers have told of. */
export interface PeerOffsets {
  record(peer: string, next: number, nowMs: number): void;
  /**
   * The peer heard last of those above `next`, if there is one. A peer with a
   * larger offset may have been cut off since.
   */
  newerPeer(next: number, nowMs: number): string | undefined;
}

/** Creates an empty record of offsets. */
export function createPeerOffsets(): PeerOffsets {
  const offsets = new Map<string, {next: number; atMs: number}>();

  function record(peer: string, next: number, nowMs: number): void {
    const known = offsets.get(peer);
    // Messages may overtake each other; a peer that has started anew is
    // behind its old offset until that is forgotten.
    const valid = known && known.atMs + FORGET_AFTER_MS >= nowMs;
    if (valid && next < known.next) return;
    offsets.set(peer, {next, atMs: nowMs});
  }

  function newerPeer(next: number, nowMs: number): string | undefined {
    let newest: string | undefined;
    let newestMs = -Infinity;
    for (const [peer, offset] of offsets) {
      if (offset.atMs + FORGET_AFTER_MS < nowMs) offsets.delete(peer);
      else if (offset.next > next && offset.atMs >= newestMs) {
        newest = peer;
        newestMs = offset.atMs;
      }
    }
    return newest;
  }

  return {
    record,
    newerPeer,
  };
}
