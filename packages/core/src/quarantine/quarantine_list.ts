import {causeKind, type CauseKind} from './cause_kind.js';
import type {QuarantineEntry} from './quarantine_entry.js';
import {createRequestSizes} from './request_sizes.js';

/**
 * More than are ever quarantined at the same time. Requests that end engines
 * do not push out the parts that do.
 */
const MAX_ENTRIES: Record<CauseKind, number> = {part: 256, request: 2_048};

/** The verdicts that a gateway knows. */
export interface QuarantineList {
  /** Takes an entry unless a later one is known; returns whether it did. */
  merge(entry: QuarantineEntry): boolean;
  get(cause: string): QuarantineEntry | undefined;
  /** All entries, parts first; of each kind, the last changed one is last. */
  all(): QuarantineEntry[];
  /** Entries on parts. */
  parts(): QuarantineEntry[];
  /** Whether a request of this size is in the list. */
  hasSize(bodyBytes: number): boolean;
  /** Entries that the store does not hold yet, as far as is known. */
  unsaved(): QuarantineEntry[];
  saved(entry: QuarantineEntry): void;
  /** The store may have lost entries that it held. */
  storeRestored(): void;
}

/** Creates an empty list. */
export function createQuarantineList(): QuarantineList {
  const entries: Record<CauseKind, Map<string, QuarantineEntry>> = {
    part: new Map(),
    request: new Map(),
  };
  const sizes = createRequestSizes();
  /** Time of the change that the store holds, by cause. */
  const savedAtMs = new Map<string, number>();

  function get(cause: string): QuarantineEntry | undefined {
    return entries[causeKind(cause)].get(cause);
  }

  function all(): QuarantineEntry[] {
    return [...entries.part.values(), ...entries.request.values()];
  }

  function remove(cause: string): void {
    const kind = causeKind(cause);
    if (entries[kind].delete(cause) && kind === 'request') sizes.remove(cause);
  }

  function merge(entry: QuarantineEntry): boolean {
    const {cause, changedAtMs} = entry;
    const kind = causeKind(cause);
    const known = get(cause);
    if (known && known.changedAtMs >= changedAtMs) return false;
    remove(cause);
    entries[kind].set(cause, entry);
    if (kind === 'request') sizes.add(cause);
    const [oldest] = entries[kind].keys();
    if (entries[kind].size > MAX_ENTRIES[kind] && oldest !== undefined) {
      remove(oldest);
      savedAtMs.delete(oldest);
    }
    return true;
  }

  return {
    merge,
    get,
    all,
    parts: () => [...entries.part.values()],
    hasSize: sizes.has,
    unsaved: () =>
      all().filter(
        ({cause, changedAtMs}) => (savedAtMs.get(cause) ?? 0) < changedAtMs,
      ),
    storeRestored: () => savedAtMs.clear(),
    saved: ({cause, changedAtMs}) => {
      const known = savedAtMs.get(cause) ?? 0;
      savedAtMs.set(cause, Math.max(known, changedAtMs));
    },
  };
}
